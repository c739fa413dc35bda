package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.sesamepin.node.serving.ConfigVerifier.Duty;

/**
 * Guards against a large fleet in which each host lists the configuration, and against a host that
 * never does although nobody does it for the host.
 */
class ConfigVerifierDutyTest {
    private static final int HOSTS = 67;

    private static long ms(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    @Test
    void otherHostsWaitForTheCoordinators() {
        assertTrue(Duty.FOR_OTHERS.isDue(ms(600), HOSTS));
        assertFalse(Duty.BY_OTHERS.isDue(ms(1_400), HOSTS));
    }

    @Test
    void hostThatHearsOfNoConfirmationListsItself() {
        assertTrue(Duty.BY_OTHERS.isDue(ms(1_500), HOSTS));
        assertTrue(Duty.SHARED.isDue(ms(1_000), HOSTS));
    }
}
