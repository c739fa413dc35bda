package org.sesamepin.core.stream;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.sesamepin.core.serving.TargetSoftware;

/**
 * The software that ran last under each id of a target, as one host has seen it. Not thread-safe.
 */
public final class TargetNames {
    private final Map<String, TargetSoftware> mSoftware;

    /** Creates an empty table of at most {@code maxNames} ids. */
    public TargetNames(int maxNames) {
        mSoftware =
                new LinkedHashMap<>() {
                    private static final long serialVersionUID = 1;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<String, TargetSoftware> eldest) {
                        return size() > maxNames;
                    }
                };
    }

    /**
     * Records a registered target.
     *
     * @return its software, if another one of the service ran under its id before
     */
    public Optional<TargetSoftware> observe(String id, TargetSoftware software) {
        TargetSoftware former = mSoftware.put(id, software);
        boolean isReplacing =
                former != null
                        && former.service().equals(software.service())
                        && !former.equals(software);
        return isReplacing ? Optional.of(software) : Optional.empty();
    }
}
