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
 * @property peerAddress `host:port` of the peer protocol; port 0 takes a free one.
 * @property operatorAddress `host:port` of metrics and status; port 0 takes a free one.
 * @property platformAddress `http://host:port` of the platform's services.
 * @property leaseTimeToLive time after which a duty passes on when its holder falls silent; whole seconds.
 * @property billPeriod time between two looks for incarnations whose bills are to be folded.
 * @property goneAfter time without any sign of an entry after which its bills are folded.
 * @property leaseMargin time before the end of the lease at which the holder stops by its own clock.
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
)

private fun positiveFault(key: String, value: Duration): SettingsFault? =
    if (value.isPositive()) null else SettingsFault(key, "$value", "more than 0s")
