package io.quetzalfield.operator

import io.quetzalfield.store.EtcdGatewayKeyValueStore
import io.quetzalfield.store.HttpInstanceDirectory
import io.quetzalfield.store.InstanceDirectory
import io.quetzalfield.store.KeyValueStore

/** The services of a platform that the commands use. */
public class PlatformConnection(
    public val store: KeyValueStore,
    public val directory: InstanceDirectory,
    public val daemons: DaemonClient,
)

/** Opens the connection to a platform. */
public fun interface PlatformConnector {
    /** Connects to the platform at [address], given as `http://host:port`. */
    public fun connect(address: String): PlatformConnection

    public companion object {
        /** Connects over HTTP. */
        public val Http: PlatformConnector = PlatformConnector { address ->
            PlatformConnection(EtcdGatewayKeyValueStore(address), HttpInstanceDirectory(address), HttpDaemonClient())
        }
    }
}
