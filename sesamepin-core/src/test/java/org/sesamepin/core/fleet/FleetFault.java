package org.sesamepin.core.fleet;

import java.util.List;

/** A fault that a schedule injects; one of limited duration is also removed again. */
enum FleetFault {
    KILL_AND_RESTART {
        @Override
        void inject(FleetSimulation fleet, long at) {
            String host = randomHost(fleet);
            fleet.schedule(at, () -> fleet.kill(host));
            fleet.schedule(at + randomNanos(fleet, 50, 9_000), () -> fleet.startHost(host));
        }
    },
    KILL {
        @Override
        void inject(FleetSimulation fleet, long at) {
            String host = randomHost(fleet);
            fleet.schedule(at, () -> fleet.kill(host));
        }
    },
    PAUSE {
        @Override
        void inject(FleetSimulation fleet, long at) {
            String host = randomHost(fleet);
            long nanos = randomNanos(fleet, 100, 9_000);
            fleet.schedule(at, () -> fleet.pause(host, nanos));
        }
    },
    STORE_DOWN {
        @Override
        void inject(FleetSimulation fleet, long at) {
            fleet.schedule(at, () -> fleet.setStoreDown(true));
            fleet.schedule(at + randomNanos(fleet, 500, 25_000), () -> fleet.setStoreDown(false));
        }
    },
    STORE_PARTITION {
        @Override
        void inject(FleetSimulation fleet, long at) {
            String host = randomHost(fleet);
            fleet.schedule(at, () -> fleet.setStorePartition(host, true));
            fleet.schedule(
                    at + randomNanos(fleet, 500, 20_000),
                    () -> fleet.setStorePartition(host, false));
        }
    },
    PEER_PARTITION {
        @Override
        void inject(FleetSimulation fleet, long at) {
            String host = randomHost(fleet);
            fleet.schedule(at, () -> fleet.setPeerPartition(host, true));
            fleet.schedule(
                    at + randomNanos(fleet, 200, 20_000),
                    () -> fleet.setPeerPartition(host, false));
        }
    },
    LOSSY_NETWORK {
        @Override
        void inject(FleetSimulation fleet, long at) {
            fleet.schedule(at, () -> fleet.setLoss(0.4));
            fleet.schedule(at + randomNanos(fleet, 500, 8_000), () -> fleet.setLoss(0.005));
        }
    },
    LEASES_EXPIRE {
        @Override
        void inject(FleetSimulation fleet, long at) {
            fleet.schedule(at, fleet::expireAllLeases);
        }
    },
    JOIN {
        @Override
        void inject(FleetSimulation fleet, long at) {
            String name = "joined-" + fleet.random().nextInt(1_000);
            fleet.schedule(at, () -> fleet.startHost(name));
        }
    };

    private static final long MS = 1_000_000L;

    /** Schedules the fault at the virtual time {@code at}. */
    abstract void inject(FleetSimulation fleet, long at);

    private static String randomHost(FleetSimulation fleet) {
        List<String> hosts = fleet.hostNames();
        return hosts.get(fleet.random().nextInt(hosts.size()));
    }

    private static long randomNanos(FleetSimulation fleet, int minMs, int maxMs) {
        return (minMs + fleet.random().nextInt(maxMs - minMs)) * MS;
    }
}
