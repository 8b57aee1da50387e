package quartzspan.crossing;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quartzspan.papers.Refusal;
import quartzspan.papers.Settings;
import sun.misc.Signal;

/** The program of a frontend machine: the proxy that carries clients' requests. */
public final class Main {
    private static final Logger LOG = LoggerFactory.getLogger(Main.class);

    private Main() { }

    /** Takes no arguments: all comes from the settings file. */
    public static void main(String[] args) {
        try {
            Crossing crossing = Crossing.start(Settings.load());
            Signal.handle(new Signal("HUP"), hup -> reload(crossing));
            Runtime.getRuntime().addShutdownHook(new Thread(crossing::leave));
        } catch (Exception why) {
            Settings.refuse(why, LOG::error);
        }
    }

    private static synchronized void reload(Crossing crossing) {
        try {
            crossing.reload(Settings.load());
        } catch (Refusal why) {
            LOG.error("the settings stay as they were: {}", why.toString());
        }
    }
}
