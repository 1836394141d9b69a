import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** An engine of an evacuated zone crashes while it answers; its answers have no length. Argument: the record's file. */
public final class UnframedCrash {
    /** Longer than the 3 s after its start for which a machine isn't in touch. */
    private static final int STABLE_MS = 5_000;

    /** The pause between the two halves of an answer, as a number of steps and their length. */
    private static final int STEPS = 50;

    private static final int STEP_MS = 100;
    private static final int BYTES = 800;
    private static final int REQUESTS = 24;
    private static final int ENGINES_PER_ZONE = 3;
    private static final List<String> ZONES = List.of("zona-lago", "zona-pianura", "zona-colline");
    private static final String[] BEHAVIOUR = {
        Integer.toString(STEPS), Integer.toString(STEP_MS), Integer.toString(BYTES), "unframed"
    };

    private UnframedCrash() {}

    public static void main(String[] arguments) throws Exception {
        int result = Rig.COULD_NOT_RUN;
        try (Rig rig = new Rig()) {
            try {
                result = run(rig);
            } catch (Exception failure) {
                rig.note("could not run: " + failure);
            }
            rig.note("result " + result);
            rig.save(Path.of(arguments[0]));
        }
        System.exit(result);
    }

    private static int run(Rig rig) throws Exception {
        Deployment deployment = new Deployment(rig);
        deployment.configure(Deployment.configuration(
                Deployment.route("prenota-banco", "/book/", "non_idempotent", "banchi", 15_000, 1), "banchi"));
        for (String zone : ZONES) {
            for (int number = 1; number <= ENGINES_PER_ZONE; number++) {
                deployment.engine("i-banchi-" + zone + "-" + number, "banchi", zone, 6, BEHAVIOUR);
            }
        }
        deployment.startHeartbeats();
        deployment.gateway("front-zona-lago-1");
        Thread.sleep(STABLE_MS);
        rig.note("gateway ready for " + STABLE_MS + " ms, disruption " + (rig.trouble ? "on" : "off"));
        int before = round(rig, deployment, "zona-pianura", false);
        int broken = round(rig, deployment, "zona-colline", true);
        rig.note("answers that looked complete and were not: " + before + " after the crash in zona-pianura, " + broken
                + " after the crash in zona-colline, which was evacuated");
        return before + broken > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** Sends requests, lets the engines of a zone crash while they answer, and counts the wrong answers. */
    private static int round(Rig rig, Deployment deployment, String zone, boolean evacuated) throws Exception {
        ExecutorService clients = Executors.newCachedThreadPool();
        List<Future<Rig.Answer>> answers = new ArrayList<>();
        for (int number = 0; number < REQUESTS; number++) {
            answers.add(clients.submit(client(rig, deployment.fronts.get(0), "book-" + zone + "-" + number)));
        }
        Thread.sleep(1_000);
        if (evacuated) {
            Rig.store(deployment.storePort, "POST", "/objects/evacuations",
                    "{\"metadata\":{\"name\":\"" + zone + "\"},\"spec\":{}}");
            rig.note("operator: " + zone + " is evacuated (acknowledged)");
        }
        Thread.sleep(2_050);
        if (rig.trouble) {
            deployment.engines.get("i-banchi-" + zone + "-1").destroyForcibly();
            rig.note("engine i-banchi-" + zone + "-1 crashes (SIGKILL), one of " + ENGINES_PER_ZONE * ZONES.size()
                    + " of its service");
        }
        int broken = 0;
        for (Future<Rig.Answer> answer : answers) {
            broken += wrong(answer.get()) ? 1 : 0;
        }
        rig.logLines("response_end_judged").stream().filter(line -> line.contains(zone))
                .forEach(line -> rig.note("gateway: " + line.substring(line.indexOf("event="))));
        rig.logLines("run ").stream().filter(line -> line.contains("-" + zone)).forEach(line -> rig.note("engine: " + line));
        clients.shutdownNow();
        return broken;
    }

    private static Callable<Rig.Answer> client(Rig rig, int port, String attempt) {
        return () -> {
            Rig.Answer answer = new Rig.Answer();
            try {
                answer = Rig.request(port, "POST /book/1 HTTP/1.1\r\nHost: show.example\r\nX-Attempt-Id: " + attempt
                        + "\r\nX-Deadline-Ms: 15000\r\nContent-Length: 2\r\n\r\n", "ok".getBytes(), 16_000);
            } catch (Exception broken) {
                answer.failure = broken.toString();
            }
            rig.note("client " + attempt + ": status " + answer.status + ", stamp '" + answer.header("X-Server-Stamp")
                    + "', Content-Length " + answer.header("Content-Length") + ", " + answer.body.length
                    + " bytes of the engine's " + BYTES + ", "
                    + (answer.complete ? "complete by its framing" : "not complete " + answer.failure));
            return answer;
        };
    }

    /** Tells whether a success looks complete although its body is not the engine's whole body. */
    private static boolean wrong(Rig.Answer answer) {
        return answer.status == 200 && answer.complete && answer.body.length != BYTES;
    }
}
