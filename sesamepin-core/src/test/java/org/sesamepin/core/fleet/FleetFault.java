package org.sesamepin.core.fleet;

import java.util.List;

/** A fault that a schedule injects and, where it ends, takes back. */
enum FleetFault {
    KILL_AND_RESTART {
        @Override
        void inject(FleetSimulation fleet, long at) {
            String host = any(fleet);
            fleet.at(at, () -> fleet.kill(host));
            fleet.at(at + between(fleet, 50, 9_000), () -> fleet.startHost(host));
        }
    },
    KILL {
        @Override
        void inject(FleetSimulation fleet, long at) {
            String host = any(fleet);
            fleet.at(at, () -> fleet.kill(host));
        }
    },
    PAUSE {
        @Override
        void inject(FleetSimulation fleet, long at) {
            String host = any(fleet);
            long nanos = between(fleet, 100, 9_000);
            fleet.at(at, () -> fleet.pause(host, nanos));
        }
    },
    STORE_DOWN {
        @Override
        void inject(FleetSimulation fleet, long at) {
            fleet.at(at, () -> fleet.setStoreDown(true));
            fleet.at(at + between(fleet, 500, 25_000), () -> fleet.setStoreDown(false));
        }
    },
    CUT_FROM_STORE {
        @Override
        void inject(FleetSimulation fleet, long at) {
            String host = any(fleet);
            fleet.at(at, () -> fleet.cutFromStore(host, true));
            fleet.at(at + between(fleet, 500, 20_000), () -> fleet.cutFromStore(host, false));
        }
    },
    CUT_FROM_PEERS {
        @Override
        void inject(FleetSimulation fleet, long at) {
            String host = any(fleet);
            fleet.at(at, () -> fleet.cutFromPeers(host, true));
            fleet.at(at + between(fleet, 200, 20_000), () -> fleet.cutFromPeers(host, false));
        }
    },
    LOSSY_NETWORK {
        @Override
        void inject(FleetSimulation fleet, long at) {
            fleet.at(at, () -> fleet.setLoss(0.4));
            fleet.at(at + between(fleet, 500, 8_000), () -> fleet.setLoss(0.005));
        }
    },
    LEASES_LAPSE {
        @Override
        void inject(FleetSimulation fleet, long at) {
            fleet.at(at, fleet::leasesLapse);
        }
    },
    JOIN {
        @Override
        void inject(FleetSimulation fleet, long at) {
            String name = "joined-" + fleet.random().nextInt(1_000);
            fleet.at(at, () -> fleet.startHost(name));
        }
    };

    private static final long MS = 1_000_000L;

    /** Injects the fault at a virtual time. */
    abstract void inject(FleetSimulation fleet, long at);

    private static String any(FleetSimulation fleet) {
        List<String> hosts = fleet.hostNames();
        return hosts.get(fleet.random().nextInt(hosts.size()));
    }

    private static long between(FleetSimulation fleet, int leastMs, int mostMs) {
        return (leastMs + fleet.random().nextInt(mostMs - leastMs)) * MS;
    }
}
