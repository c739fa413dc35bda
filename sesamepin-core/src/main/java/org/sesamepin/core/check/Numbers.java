package org.sesamepin.core.check;

import java.math.BigDecimal;

/** Formats numbers for findings. */
final class Numbers {
    private Numbers() {}

    /** Returns the number without needless digits, for example {@code 5} for 5.0. */
    static String format(double number) {
        if (Double.isNaN(number) || Double.isInfinite(number)) {
            return String.valueOf(number);
        }
        return BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
    }
}
