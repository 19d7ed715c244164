package io.quetzalfield.entry

import io.quetzalfield.decision.AllowanceShare
import io.quetzalfield.decision.CrashQuarantine
import io.quetzalfield.decision.FingerprintReport
import io.quetzalfield.support.status.StatusSection
import io.quetzalfield.support.status.statusSection
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer

/**
 * A request during which runners have crashed.
 *
 * @property crashes number of runners that crashed while running it; from two on it is refused.
 * @property ageSeconds seconds since the last of these crashes.
 */
@Serializable
public data class SuspectStatus(val fingerprint: String, val crashes: Int, val ageSeconds: Long)

/** Returns the section with the requests that are suspected of crashing runners or refused for that reason. */
internal fun suspectsSection(quarantine: CrashQuarantine): StatusSection =
    statusSection("suspect fingerprints", ListSerializer(SuspectStatus.serializer())) {
        quarantine.reports().map(FingerprintReport::toStatus)
    }

private fun FingerprintReport.toStatus() = SuspectStatus(fingerprint.value, crashes, age.inWholeSeconds)

/** Returns the section with the number of tokens per minute that this entry may generate, by client account. */
internal fun allowancesSection(lists: ListsHolder, allowance: AllowanceShare): StatusSection =
    statusSection("allowance share, tokens per minute", MapSerializer(String.serializer(), Long.serializer())) {
        lists.snapshot.accounts.associate { it.id.value to allowance.tokensPerMinute(it.id).toLong() }
    }

/** Returns the section with the versions that are stopped ahead of a change of the lists. */
internal fun stoppedVersionsSection(lists: ListsHolder, rollouts: RolloutMonitor): StatusSection =
    statusSection("versions stopped ahead of the lists", ListSerializer(String.serializer())) {
        rollouts.stoppedVersions(lists.snapshot).map { "$it" }
    }
