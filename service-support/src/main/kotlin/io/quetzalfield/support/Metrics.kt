package io.quetzalfield.support

import io.javalin.http.Context
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

private val textFormat = PrometheusTextFormatWriter.builder().build()

/** Responds to [context] with all metrics of [registry] in the Prometheus text format. */
public fun writeMetrics(context: Context, registry: PrometheusRegistry) {
    val buffer = ByteArrayOutputStream()
    textFormat.write(buffer, registry.scrape())
    context.contentType(textFormat.contentType).result(buffer.toByteArray())
}
