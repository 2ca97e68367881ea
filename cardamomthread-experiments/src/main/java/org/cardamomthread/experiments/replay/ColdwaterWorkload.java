package org.cardamomthread.experiments.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.cardamomthread.experiments.replay.CallFactory.PromptPart;
import org.cardamomthread.policy.profile.PriceClass;
import org.cardamomthread.policy.profile.TrafficProfile;

/**
 * Generates bursty short chats and drops and steady deferrable orders, for 6 model and 4
 * application endpoints.
 */
final class ColdwaterWorkload {

    private static final long DURATION_MS = 1_800_000;
    private static final TrafficProfile CHAT = TrafficProfile.urgent(1_000);
    private static final TrafficProfile DROP = TrafficProfile.urgent(400);
    private static final TrafficProfile ORDER = TrafficProfile.deferrable(600_000);
    private static final int[] MODEL_DATA_CENTRES = {0, 0, 1, 2, 3, 2};
    private static final double CHATS_PER_SECOND = 0.8;
    private static final double DROPS_PER_SECOND = 8;
    private static final double ORDERS_PER_SECOND = 0.4;

    private ColdwaterWorkload() {}

    static Workload generate(long seed) {
        Random random = new Random(seed);
        CallFactory factory = new CallFactory();
        double nextChatMs = 0;
        for (int i = 0; nextChatMs < DURATION_MS; i++) {
            nextChatMs += exponential(random, 1_000 / (CHATS_PER_SECOND * burstFactor(nextChatMs)));
            addChat(factory, random, i, (long) nextChatMs);
        }
        double nextDropMs = 0;
        for (int i = 0; nextDropMs < DURATION_MS; i++) {
            nextDropMs += exponential(random, 1_000 / (DROPS_PER_SECOND * burstFactor(nextDropMs)));
            addDrop(factory, random, i, (long) nextDropMs);
        }
        double nextOrderMs = 0;
        for (int i = 0; nextOrderMs < DURATION_MS; i++) {
            nextOrderMs += exponential(random, 1_000 / ORDERS_PER_SECOND);
            addOrder(factory, random, i, (long) nextOrderMs);
        }
        return new Workload("coldwater", factory.calls(), fleet(), DURATION_MS, 2);
    }

    /**
     * Returns the load factor at a time: 2.8 during the three bursts of four minutes each,
     * otherwise 1.
     */
    private static double burstFactor(double atMs) {
        double minute = atMs / 60_000 % 10;
        return minute >= 4 && minute < 8 ? 2.8 : 1;
    }

    private static void addChat(CallFactory factory, Random random, int number, long atMs) {
        List<PromptPart> prompt = new ArrayList<>();
        prompt.add(new PromptPart(1, 384));
        prompt.add(new PromptPart(100 + random.nextInt(40), 512));
        int turns = 2 + random.nextInt(5);
        long arrivalMs = atMs;
        for (int turn = 0; turn < turns; turn++) {
            prompt.add(new PromptPart(1_000_000L + number * 16L + turn, 48 + random.nextInt(64)));
            int output = 30 + random.nextInt(140);
            factory.add(
                    Call.Pool.MODEL,
                    "chat-" + number,
                    arrivalMs,
                    Long.MAX_VALUE,
                    CHAT,
                    prompt,
                    output,
                    100);
            prompt.add(new PromptPart(5_000_000L + number * 16L + turn, output));
            arrivalMs += 6_000 + random.nextInt(20_000);
        }
    }

    private static void addDrop(CallFactory factory, Random random, int number, long atMs) {
        factory.add(
                Call.Pool.APPLICATION,
                "drop-" + number,
                atMs,
                Long.MAX_VALUE,
                DROP,
                List.of(),
                2 + random.nextInt(6),
                5);
    }

    private static void addOrder(CallFactory factory, Random random, int number, long atMs) {
        factory.add(
                Call.Pool.MODEL,
                "order-" + number,
                atMs,
                atMs + 600_000,
                ORDER,
                List.of(
                        new PromptPart(2, 640),
                        new PromptPart(9_000_000L + number, 200 + random.nextInt(400))),
                150 + random.nextInt(300),
                300);
    }

    private static List<EndpointSpec> fleet() {
        List<EndpointSpec> fleet = new ArrayList<>();
        EndpointSpec model =
                new EndpointSpec(Call.Pool.MODEL, 0, PriceClass.RECLAIMABLE, 8, 2, 4_000, 60, 480);
        for (int i = 0; i < MODEL_DATA_CENTRES.length; i++) {
            PriceClass priceClass = i == 0 ? PriceClass.ON_DEMAND : PriceClass.RECLAIMABLE;
            fleet.add(model.withPlacement(MODEL_DATA_CENTRES[i], priceClass));
        }
        fleet.addAll(applicationRunners());
        return fleet;
    }

    static List<EndpointSpec> applicationRunners() {
        List<EndpointSpec> fleet = new ArrayList<>();
        EndpointSpec application =
                new EndpointSpec(
                        Call.Pool.APPLICATION, 0, PriceClass.RECLAIMABLE, 8, 2, 4_000, 100, 1);
        for (int centre = 0; centre < 4; centre++) {
            PriceClass priceClass = centre == 1 ? PriceClass.ON_DEMAND : PriceClass.RECLAIMABLE;
            fleet.add(application.withPlacement(centre, priceClass));
        }
        return fleet;
    }

    static double exponential(Random random, double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }
}
