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

/** The command line client for operators: {@code quartzspanctl VERB [FILE] --core IP:PORT}. */
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

    private static final int HTTP_OK = 200;
    private static final int WRONG_USAGE = 2;
    private static final int NO_RESPONSE = 8;
    private static final int MAX_REDIRECTS = 2;

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
            CommandLine commandLine = new DefaultParser().parse(options, args);
            String verb = commandLine.getArgList().isEmpty()
                    ? ""
                    : commandLine.getArgList().get(0);
            String file = commandLine.getArgList().size() < 2
                    ? null
                    : commandLine.getArgList().get(1);
            return switch (verb) {
                case "status" -> status(commandLine);
                case "get" -> print(call(commandLine, "GET", "Configuration.Describe", null, null));
                case "check" -> check(file);
                case "apply" -> apply(commandLine, file);
                default -> wrongUsage("unknown verb " + verb);
            };
        } catch (ParseException e) {
            return wrongUsage(e.getMessage());
        } catch (FleetException e) {
            out.println(e);
            return e.code().exitStatus();
        } catch (IOException | IllegalArgumentException e) {
            out.println("no answer: " + e + "; use --core to give the address of a running core machine");
            return NO_RESPONSE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return NO_RESPONSE;
        }
    }

    private int wrongUsage(String message) {
        out.println(message);
        out.println(USAGE);
        return WRONG_USAGE;
    }

    private byte[] read(String file) throws IOException {
        if (file == null) {
            throw new FleetException(
                    FleetException.Code.CONFIG_UNREADABLE,
                    "no configuration file given",
                    "give the path of the configuration file");
        }
        return Files.readAllBytes(Path.of(file));
    }

    private int check(String file) throws IOException {
        Configuration configuration = Configuration.read(read(file));
        configuration.checkNewTenantNames(Configuration.NONE);
        out.println("valid: version " + configuration.version() + ", "
                + configuration.routes().size() + " routes, "
                + configuration.services().size() + " services");
        return 0;
    }

    private int apply(CommandLine commandLine, String file) throws IOException, InterruptedException {
        byte[] body = read(file);
        Configuration configuration = Configuration.read(body);
        String baseVersion = commandLine.getOptionValue("base");
        if (baseVersion == null) {
            baseVersion =
                    String.valueOf(Configuration.read(call(commandLine, "GET", "Configuration.Describe", null, null)
                                    .body())
                            .version());
        }
        HttpResponse<byte[]> response = call(commandLine, "POST", "Configuration.Replace", baseVersion, body);
        if (response.statusCode() != HTTP_OK) {
            return print(response);
        }
        out.println("version " + configuration.version() + " is in effect");
        return 0;
    }

    private int status(CommandLine commandLine) throws IOException, InterruptedException {
        HttpResponse<byte[]> response = call(commandLine, "GET", "status", null, null);
        if (commandLine.hasOption("json") || response.statusCode() != HTTP_OK) {
            return print(response);
        }
        JsonObject status = JsonFields.parse(response.body());
        for (String name : status.keySet()) {
            if (status.get(name) instanceof jakarta.json.JsonArray list) {
                out.println(name + ":");
                for (JsonValue value : list) {
                    JsonObject entry = value.asJsonObject();
                    out.println("  " + entry.getString("key") + "  " + entry.getString("state") + "  "
                            + entry.getString("text").replace('\t', ' '));
                }
            } else if (name.equals("view")) {
                printMembership(status.getString(name));
            } else {
                out.println(name + ": " + status.get(name));
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

    private int print(HttpResponse<byte[]> response) {
        out.println(new String(response.body(), java.nio.charset.StandardCharsets.UTF_8));
        return switch (response.statusCode()) {
            case 200 -> 0;
            case 400 -> FleetException.Code.CONFIG_INVALID.exitStatus();
            case 412 -> FleetException.Code.CONFIG_STALE.exitStatus();
            default -> NO_RESPONSE;
        };
    }

    /** Sends a request to the core and follows at most two redirects. */
    private HttpResponse<byte[]> call(
            CommandLine commandLine, String method, String operation, String baseVersion, byte[] body)
            throws IOException, InterruptedException {
        URI uri = URI.create(
                "http://" + commandLine.getOptionValue("core", "127.0.0.1:8169") + "/quartzspan/" + operation);
        HttpResponse<byte[]> response = null;
        for (int redirects = 0; redirects <= MAX_REDIRECTS; redirects++) {
            HttpRequest.Builder request = HttpRequest.newBuilder(uri)
                    .timeout(Duration.ofSeconds(5))
                    .method(
                            method,
                            body == null
                                    ? HttpRequest.BodyPublishers.noBody()
                                    : HttpRequest.BodyPublishers.ofByteArray(body));
            if (baseVersion != null) {
                request.header("X-Base-Version", baseVersion);
            }
            response = http.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
            if (response.statusCode() != 307) {
                break;
            }
            uri = URI.create(response.headers().firstValue("Location").orElse(uri.toString()));
        }
        return response;
    }
}
