package org.sesamepin.core.config;

import java.util.List;
import java.util.stream.Collectors;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;

/** Reports that a settings or bundle file is invalid, with all problems found in it. */
public final class ConfigException extends SesamepinException {
    private static final long serialVersionUID = 1L;

    private final transient List<ConfigProblem> mProblems;

    /** Creates an exception for {@code file} from at least one problem. */
    public ConfigException(String file, List<ConfigProblem> problems) {
        super(
                Step.LOAD_BUNDLE,
                file,
                problems.stream().map(ConfigProblem::toString).collect(Collectors.joining("\n")));
        mProblems = List.copyOf(problems);
    }

    public List<ConfigProblem> problems() {
        return mProblems;
    }
}
