import java.nio.file.Path;

/** The frame of a case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
abstract class Scenario {
    /** Whether the disruption takes place. */
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    Record record;

    /** Runs the case and returns whether the rule was broken; `null` if the case could not run. */
    abstract Boolean run() throws Exception;

    static void play(Scenario scenario, String[] arguments) {
        Thread watchdog = new Thread(() -> {
            try {
                Thread.sleep(115_000);
            } catch (InterruptedException error) {
                return;
            }
            System.err.println("the case took too long");
            System.exit(2);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        int status = 2;
        try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
            scenario.record = record;
            record.line("disruption: " + (scenario.hasTrouble ? "yes" : "no (TROUBLE=0)"));
            Boolean isBroken = scenario.run();
            status = isBroken == null ? 2 : isBroken ? 1 : 0;
            String result = isBroken == null ? "the case could not run" : isBroken ? "rule broken" : "rule held";
            record.line("result: " + result);
            System.out.println(result);
        } catch (Exception error) {
            error.printStackTrace();
        }
        System.exit(status);
    }

    /** A configuration with routes to `visit-desk` for bookings and look-ups, and to `plant-advisor` for streams. */
    static String configuration(int version, String tenants) {
        return "{\"version\":" + version + ",\"routes\":["
            + "{\"name\":\"r-booking\",\"host\":\"visits.example\",\"prefix\":\"/book/\",\"kind\":\"non_idempotent\","
            + "\"timeout_ms\":3000,\"slo_ms\":193,\"priority\":2,\"service\":\"visit-desk\",\"attempts\":1,\"public\":false},"
            + "{\"name\":\"r-lookup\",\"host\":\"visits.example\",\"prefix\":\"/look/\",\"kind\":\"idempotent\","
            + "\"timeout_ms\":3000,\"slo_ms\":193,\"priority\":2,\"service\":\"visit-desk\",\"attempts\":2,\"public\":false},"
            + "{\"name\":\"r-plan\",\"host\":\"visits.example\",\"prefix\":\"/plan/\",\"kind\":\"streaming\","
            + "\"timeout_ms\":12000,\"slo_ms\":3000,\"priority\":1,\"service\":\"plant-advisor\",\"attempts\":3,\"public\":false,"
            + "\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":2000}],"
            + "\"services\":[{\"name\":\"visit-desk\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false},"
            + "{\"name\":\"plant-advisor\",\"health_path\":\"/healthz\",\"max_conns\":370,\"protocol\":\"h1\",\"tls\":false,"
            + "\"engine\":{\"capacity\":64,\"kv_capacity\":456822}}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            + "\"tenants\":[" + tenants + "]}";
    }

    static String tenant(String name, String... keys) {
        StringBuilder list = new StringBuilder();
        for (String key : keys) list.append(list.length() == 0 ? "" : ",").append('"').append(key).append('"');
        return "{\"name\":\"" + name + "\",\"api_keys\":[" + list + "],\"priority\":1}";
    }
}
