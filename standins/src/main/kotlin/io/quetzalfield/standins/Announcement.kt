package io.quetzalfield.standins

import io.quetzalfield.model.ListedInstance
import io.quetzalfield.store.InstanceDirectory
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val RETRY_PAUSE = 100.milliseconds

/** Puts [instance] into the list; tries again, after a [pause], until the platform has answered. */
internal fun InstanceDirectory.announceUntilListed(
    instance: ListedInstance,
    onFailure: (String) -> Unit,
    pause: (Duration) -> Unit = { TimeUnit.MILLISECONDS.sleep(it.inWholeMilliseconds) },
) {
    while (true) {
        val error = announce(instance).leftOrNull() ?: return
        onFailure(error.message)
        pause(RETRY_PAUSE)
    }
}
