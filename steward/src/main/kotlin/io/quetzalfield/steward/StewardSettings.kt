package io.quetzalfield.steward

import arrow.core.Either
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
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of a steward.
 *
 * @property peerAddress `host:port` of the peer protocol; port 0 selects a free port.
 * @property operatorAddress `host:port` of metrics and status; port 0 selects a free port.
 * @property platformAddress `http://host:port` of the platform's services.
 * @property leaseTimeToLive time after which another steward can take over the duty of a silent holder; whole seconds.
 * @property billPeriod interval at which ended incarnations are looked for and their bills are folded.
 * @property goneAfter time without any sign of life from an entry after which its bills are folded.
 * @property orderPeriod interval at which the versions loaded by the runners are checked.
 * @property longestOrderDelay longest time that an order can take to reach a runner.
 * @property leaseMargin time before the lease expires at which the holder stops by its own clock.
 */
@Serializable
public data class StewardSettings(
    val instance: InstanceId,
    val failureDomain: FailureDomainId,
    val peerAddress: String,
    val operatorAddress: String,
    val platformAddress: String,
    val leaseTimeToLive: SettingDuration = 6.seconds,
    val leaseMargin: SettingDuration = 2.seconds,
    val dutyPeriod: SettingDuration = 1.seconds,
    val billPeriod: SettingDuration = 5.seconds,
    val goneAfter: SettingDuration = 10.seconds,
    val orderPeriod: SettingDuration = 2.seconds,
    val longestOrderDelay: SettingDuration = 5.seconds,
)

/** Reads and checks the settings in [file]. */
public fun loadStewardSettings(file: Path): Either<List<SettingsError>, StewardSettings> =
    loadYaml(file, StewardSettings.serializer(), ::stewardSettingsFaults)

private fun stewardSettingsFaults(settings: StewardSettings): List<SettingsFault> = listOfNotNull(
    addressFault("peerAddress", settings.peerAddress),
    addressFault("operatorAddress", settings.operatorAddress),
    httpAddressFault("platformAddress", settings.platformAddress),
    if (settings.leaseTimeToLive >= 1.seconds) {
        null
    } else {
        SettingsFault("leaseTimeToLive", "${settings.leaseTimeToLive}", "1s or more")
    },
    if (settings.leaseMargin < settings.leaseTimeToLive && settings.leaseMargin.isPositive()) {
        null
    } else {
        SettingsFault("leaseMargin", "${settings.leaseMargin}", "more than 0s and less than leaseTimeToLive")
    },
    positiveFault("dutyPeriod", settings.dutyPeriod),
    positiveFault("billPeriod", settings.billPeriod),
    positiveFault("goneAfter", settings.goneAfter),
    positiveFault("orderPeriod", settings.orderPeriod),
    positiveFault("longestOrderDelay", settings.longestOrderDelay),
)

private fun positiveFault(key: String, value: Duration): SettingsFault? =
    if (value.isPositive()) null else SettingsFault(key, "$value", "more than 0s")
