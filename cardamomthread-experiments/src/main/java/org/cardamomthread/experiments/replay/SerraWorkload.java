package org.cardamomthread.experiments.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.cardamomthread.experiments.replay.CallFactory.PromptPart;
import org.cardamomthread.policy.profile.PriceClass;
import org.cardamomthread.policy.profile.TrafficProfile;

/**
 * Generates assessments of long reports, whose calls share a prefix, deferrable tags and bookings,
 * for 13 model and 4 application endpoints.
 */
final class SerraWorkload {

    private static final long DURATION_MS = 1_800_000;
    private static final TrafficProfile ASSESSMENT = TrafficProfile.urgent(2_500);
    private static final TrafficProfile BOOKING = TrafficProfile.urgent(400);
    private static final TrafficProfile TAG = TrafficProfile.deferrable(600_000);
    private static final double REPORTS_PER_SECOND = 1.0;
    private static final double BOOKINGS_PER_SECOND = 6;
    private static final int MODEL_RUNNERS = 13;
    private static final int PRODUCTS = 30;

    private SerraWorkload() {}

    static Workload generate(long seed) {
        Random random = new Random(seed);
        CallFactory factory = new CallFactory();
        double nextReportMs = 0;
        for (int i = 0; nextReportMs < DURATION_MS; i++) {
            nextReportMs += ColdwaterWorkload.exponential(random, 1_000 / REPORTS_PER_SECOND);
            addReport(factory, random, i, (long) nextReportMs);
        }
        double nextBookingMs = 0;
        for (int i = 0; nextBookingMs < DURATION_MS; i++) {
            nextBookingMs += ColdwaterWorkload.exponential(random, 1_000 / BOOKINGS_PER_SECOND);
            factory.add(
                    Call.Pool.APPLICATION,
                    "booking-" + i,
                    (long) nextBookingMs,
                    Long.MAX_VALUE,
                    BOOKING,
                    List.of(),
                    2 + random.nextInt(8),
                    5);
        }
        return new Workload("serra", factory.calls(), fleet(), DURATION_MS, 6);
    }

    private static void addReport(CallFactory factory, Random random, int number, long atMs) {
        List<PromptPart> report =
                List.of(
                        new PromptPart(3, 512),
                        new PromptPart(200 + random.nextInt(PRODUCTS), 1_536),
                        new PromptPart(20_000_000L + number, 2_500 + random.nextInt(5_000)));
        int questions = 2 + random.nextInt(4);
        long arrivalMs = atMs;
        for (int question = 0; question < questions; question++) {
            List<PromptPart> prompt = new ArrayList<>(report);
            prompt.add(
                    new PromptPart(40_000_000L + number * 16L + question, 40 + random.nextInt(80)));
            factory.add(
                    Call.Pool.MODEL,
                    "report-" + number,
                    arrivalMs,
                    Long.MAX_VALUE,
                    ASSESSMENT,
                    prompt,
                    100 + random.nextInt(300),
                    250);
            arrivalMs += 10_000 + random.nextInt(50_000);
        }
        List<PromptPart> tag = new ArrayList<>(report);
        tag.add(new PromptPart(60_000_000L + number, 64));
        factory.add(
                Call.Pool.MODEL,
                "report-" + number,
                arrivalMs,
                arrivalMs + 600_000,
                TAG,
                tag,
                20,
                20);
    }

    private static List<EndpointSpec> fleet() {
        List<EndpointSpec> fleet = new ArrayList<>();
        EndpointSpec model =
                new EndpointSpec(
                        Call.Pool.MODEL, 0, PriceClass.RECLAIMABLE, 8, 2, 6_000, 50, 1_600);
        for (int i = 0; i < MODEL_RUNNERS; i++) {
            PriceClass priceClass = i % 5 == 0 ? PriceClass.ON_DEMAND : PriceClass.RECLAIMABLE;
            fleet.add(model.withPlacement(i % 4, priceClass));
        }
        fleet.addAll(ColdwaterWorkload.applicationRunners());
        return fleet;
    }
}
