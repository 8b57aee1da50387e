package quartzspan.cli;

import jakarta.json.JsonObject;
import jakarta.json.JsonValue;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import quartzspan.common.FleetException;
import quartzspan.configuration.Configuration;
import quartzspan.configuration.JsonFields;
import quartzspan.replication.Membership;

/** The operators' command line: {@code quartzspanctl VERB [FILE] --core IP:PORT}. */
public final class Main {
    static final String USAGE = String.join(
            "\n",
            "usage: quartzspanctl VERB [FILE] [--core IP:PORT] [--base VERSION] [--json]",
            "  status        the role and the knowledge of the core machine at --core: membership, rollout, servers, proxies",
            "  get           the configuration in effect, as it was sent",
            "  check FILE    whether a configuration is valid; works offline (the core uses the same code)",
            "  apply FILE    replaces the configuration; --base: the version it builds on (default: the one in effect)",
            "examples:",
            "  quartzspanctl check new.json && quartzspanctl apply new.json --core 127.0.0.1:8169 --base 7",
            "  quartzspanctl status --core 127.0.0.1:8169 --json",
            "exit status: 0 done, 2 wrong usage, 6 invalid, 7 built on another version, 8 no primary or no answer");

    private static final int OK = 200;
    private static final int WRONG_USAGE = 2;
    private static final int NO_ANSWER = 8;

    private final PrintStream out;
    private final HttpClient http = HttpClient.newBuilder()
            .followRedirects(HttpClient.Redirect.NEVER)
            .connectTimeout(Duration.ofSeconds(2))
            .build();

    Main(PrintStream out) {
        this.out = out;
    }

    public static void main(String[] args) {
        System.exit(new Main(System.out).run(args));
    }

    /** Runs a command; returns the exit status. */
    int run(String... args) {
        Options options = new Options()
                .addOption(Option.builder().longOpt("core").hasArg().get())
                .addOption(Option.builder().longOpt("base").hasArg().get())
                .addOption(Option.builder().longOpt("json").get());
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            String verb = line.getArgList().isEmpty() ? "" : line.getArgList().get(0);
            String file =
                    line.getArgList().size() < 2 ? null : line.getArgList().get(1);
            return switch (verb) {
                case "status" -> status(line);
                case "get" -> print(call(line, "GET", "Configuration.Describe", null, null));
                case "check" -> check(file);
                case "apply" -> apply(line, file);
                default -> wrongUsage("unknown verb " + verb);
            };
        } catch (ParseException e) {
            return wrongUsage(e.getMessage());
        } catch (FleetException refusal) {
            out.println(refusal);
            return refusal.code().exitStatus();
        } catch (IOException | IllegalArgumentException e) {
            out.println("no answer: " + e + "; name a core machine that runs with --core");
            return NO_ANSWER;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return NO_ANSWER;
        }
    }

    private int wrongUsage(String why) {
        out.println(why);
        out.println(USAGE);
        return WRONG_USAGE;
    }

    private byte[] read(String file) throws IOException {
        if (file == null) {
            throw new FleetException(
                    FleetException.Code.CONFIG_UNREADABLE, "no file is named", "name the configuration's file");
        }
        return Files.readAllBytes(Path.of(file));
    }

    private int check(String file) throws IOException {
        Configuration m = Configuration.read(read(file));
        out.println("valid: version " + m.version() + ", " + m.routes().size() + " routes, "
                + m.services().size() + " services");
        return 0;
    }

    private int apply(CommandLine line, String file) throws IOException, InterruptedException {
        byte[] body = read(file);
        Configuration m = Configuration.read(body);
        String base = line.getOptionValue("base");
        if (base == null) {
            base = String.valueOf(Configuration.read(call(line, "GET", "Configuration.Describe", null, null)
                            .body())
                    .version());
        }
        HttpResponse<byte[]> answer = call(line, "POST", "Configuration.Replace", base, body);
        if (answer.statusCode() != OK) {
            return print(answer);
        }
        out.println("version " + m.version() + " is in effect");
        return 0;
    }

    private int status(CommandLine line) throws IOException, InterruptedException {
        HttpResponse<byte[]> answer = call(line, "GET", "status", null, null);
        if (line.hasOption("json") || answer.statusCode() != OK) {
            return print(answer);
        }
        JsonObject o = JsonFields.parse(answer.body());
        for (String name : o.keySet()) {
            if (o.get(name) instanceof jakarta.json.JsonArray list) {
                out.println(name + ":");
                for (JsonValue v : list) {
                    JsonObject f = v.asJsonObject();
                    out.println("  " + f.getString("key") + "  " + f.getString("state") + "  "
                            + f.getString("text").replace('\t', ' '));
                }
            } else if (name.equals("view")) {
                printMembership(o.getString(name));
            } else {
                out.println(name + ": " + o.get(name));
            }
        }
        return 0;
    }

    private void printMembership(String text) {
        Membership membership = Membership.parse(text);
        if (membership == null) {
            out.println("membership: " + text);
            return;
        }
        out.println("membership:");
        out.println("  epoch: " + membership.epoch().text());
        out.println("  primary: " + membership.primary());
        out.println("  data replicas: " + String.join(", ", membership.dataReplicas()));
        out.println("  voters: " + String.join(", ", membership.voters()));
        if (membership.isJoint()) {
            out.println("  previous voters: " + String.join(", ", membership.previousVoters()));
        }
    }

    private int print(HttpResponse<byte[]> answer) {
        out.println(new String(answer.body(), java.nio.charset.StandardCharsets.UTF_8));
        return switch (answer.statusCode()) {
            case 200 -> 0;
            case 400 -> FleetException.Code.CONFIG_INVALID.exitStatus();
            case 412 -> FleetException.Code.CONFIG_STALE.exitStatus();
            default -> NO_ANSWER;
        };
    }

    /** One request; follows two redirects at the most. */
    private HttpResponse<byte[]> call(CommandLine line, String method, String name, String base, byte[] body)
            throws IOException, InterruptedException {
        URI to = URI.create("http://" + line.getOptionValue("core", "127.0.0.1:8169") + "/quartzspan/" + name);
        HttpResponse<byte[]> answer = null;
        for (int i = 0; i < 3; i++) {
            HttpRequest.Builder request = HttpRequest.newBuilder(to)
                    .timeout(Duration.ofSeconds(5))
                    .method(
                            method,
                            body == null
                                    ? HttpRequest.BodyPublishers.noBody()
                                    : HttpRequest.BodyPublishers.ofByteArray(body));
            if (base != null) {
                request.header("X-Base-Version", base);
            }
            answer = http.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
            if (answer.statusCode() != 307) {
                break;
            }
            to = URI.create(answer.headers().firstValue("Location").orElse(to.toString()));
        }
        return answer;
    }
}
