package io.quetzalfield.replay

import org.jfree.chart.ChartFactory
import org.jfree.chart.ChartUtils
import org.jfree.chart.JFreeChart
import org.jfree.chart.axis.CategoryLabelPositions
import org.jfree.chart.plot.PlotOrientation
import org.jfree.chart.renderer.category.StatisticalBarRenderer
import org.jfree.data.statistics.DefaultStatisticalCategoryDataset
import java.nio.file.Path
import kotlin.io.path.createDirectories

private const val WIDTH_PIXELS = 900
private const val HEIGHT_PIXELS = 420

/** Writes one bar chart per measure as a PNG file named after the measure, and returns the paths of the files. */
public fun writePlots(summaries: List<PolicySummary>, directory: Path): List<Path> {
    directory.createDirectories()
    return Measure.entries.map { measure ->
        val path = directory.resolve("${measure.name.lowercase().replace('_', '-')}.png")
        ChartUtils.saveChartAsPNG(path.toFile(), chart(measure, summaries), WIDTH_PIXELS, HEIGHT_PIXELS)
        path
    }
}

private fun chart(measure: Measure, summaries: List<PolicySummary>): JFreeChart {
    val dataset = DefaultStatisticalCategoryDataset()
    for (summary in summaries) {
        val value = summary.measures.getValue(measure)
        dataset.add(value.mean, value.halfWidth, measure.title, summary.policy)
    }
    val hasLegend = false
    val chart = ChartFactory.createBarChart(
        measure.title,
        "policy",
        measure.title,
        dataset,
        PlotOrientation.VERTICAL,
        hasLegend,
        false,
        false,
    )
    chart.categoryPlot.renderer = StatisticalBarRenderer()
    chart.categoryPlot.domainAxis.categoryLabelPositions = CategoryLabelPositions.UP_45
    return chart
}
