package io.quetzalfield.entry

import arrow.core.Either
import io.quetzalfield.decision.DecisionWeights
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.InstanceId
import io.quetzalfield.support.SettingDuration
import io.quetzalfield.support.SettingsError
import io.quetzalfield.support.SettingsFault
import io.quetzalfield.support.addressFault
import io.quetzalfield.support.httpAddressFault
import io.quetzalfield.support.loadYaml
import kotlinx.serialization.Serializable
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private const val DEFAULT_LARGEST_BODY_BYTES = 1_048_576L

/**
 * Settings of an entry.
 *
 * @property instance the platform's name of the instance.
 * @property callerAddress `host:port` of the API for callers; port 0 selects a free one.
 * @property peerAddress `host:port` of the peer protocol; port 0 selects a free one.
 * @property operatorAddress `host:port` of the API for operators; port 0 selects a free one.
 * @property platformAddress `http://host:port` of the platform's services.
 * @property decisionPreset weights for the choice among sufficient routes.
 * @property addressValidity time for which callers may cache an address answer.
 * @property listRefresh time between two reads of the platform's list of instances.
 * @property loadRefresh time between two reads of a runner's load.
 * @property billFlush time between two writes of the bills.
 * @property demandReport time between two reports of the demand, which determines the entry's shares of the allowances.
 * @property listsStaleAfter time after which an entry that reaches neither the platform nor a peer refuses work.
 * @property shutdownGrace longest time that a shutdown waits for running requests.
 */
@Serializable
public data class EntrySettings(
    val instance: InstanceId,
    val failureDomain: FailureDomainId,
    val callerAddress: String,
    val peerAddress: String,
    val platformAddress: String,
    val operatorAddress: String = "127.0.0.1:0",
    val decisionPreset: DecisionPreset = DecisionPreset.WATERING_ADVICE,
    val addressValidity: SettingDuration = 10.seconds,
    val listRefresh: SettingDuration = 500.milliseconds,
    val loadRefresh: SettingDuration = 250.milliseconds,
    val billFlush: SettingDuration = 1.seconds,
    val demandReport: SettingDuration = 2.seconds,
    val listsStaleAfter: SettingDuration = 5.seconds,
    val shutdownGrace: SettingDuration = 2.minutes,
    val largestBodyBytes: Long = DEFAULT_LARGEST_BODY_BYTES,
)

/** Presets of the weights of cost, latency and exposure, one per deployment. */
@Serializable
public enum class DecisionPreset(public val weights: DecisionWeights) {
    /** Weighs latency most and exposure second. */
    NEEDLE_CALIBRATION(DecisionWeights.KalkkilaNeedleCalibration),

    /** Weighs cost most. */
    WATERING_ADVICE(DecisionWeights.WateringAdvice),
}

/** Reads and checks the settings in [file]. */
public fun loadEntrySettings(file: Path): Either<List<SettingsError>, EntrySettings> =
    loadYaml(file, EntrySettings.serializer(), ::entrySettingsFaults)

private fun entrySettingsFaults(settings: EntrySettings): List<SettingsFault> {
    val durations = mapOf(
        "addressValidity" to settings.addressValidity,
        "listRefresh" to settings.listRefresh,
        "loadRefresh" to settings.loadRefresh,
        "billFlush" to settings.billFlush,
        "demandReport" to settings.demandReport,
        "listsStaleAfter" to settings.listsStaleAfter,
        "shutdownGrace" to settings.shutdownGrace,
    )
    return listOfNotNull(
        addressFault("callerAddress", settings.callerAddress),
        addressFault("peerAddress", settings.peerAddress),
        addressFault("operatorAddress", settings.operatorAddress),
        httpAddressFault("platformAddress", settings.platformAddress),
        sizeFault(settings.largestBodyBytes),
    ) + durations.mapNotNull { (key, value) -> durationFault(key, value) }
}

private fun durationFault(key: String, value: Duration): SettingsFault? =
    if (value.isPositive()) null else SettingsFault(key, "$value", "more than 0s")

private fun sizeFault(value: Long): SettingsFault? =
    if (value > 0) null else SettingsFault("largestBodyBytes", "$value", "more than 0")
