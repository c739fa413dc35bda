package org.sesamepin.core.prompt;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.sesamepin.core.prompt.RecentEnds.SeenEnd;

/**
 * Finds the parts of prompts that end the targets that answer them, from the ends of targets and
 * the complete answers of all hosts.
 *
 * <p>Requests of many callers run at a target when it ends, and only one of them is the cause. A
 * part is identified as the cause when several targets ended under it, hardly an answer with it was
 * completed, and no other part explains the same ends better. A part whose answers are completed is
 * never identified, however often it runs beside the cause. A single item of a job is no cause, as
 * it is owed; it runs at one target after the other, so it explains ends that met it by chance. Not
 * thread-safe.
 */
public final class PromptSuspects {
    /** Weighted ends that identify a part; more than it meets by chance. */
    private static final double MIN_SCORE = 2.5;

    /** Weighted ends that identify each of several parts which explain the ends equally well. */
    private static final double MIN_AMBIGUOUS_SCORE = 5;

    /** Ends that identify each of several whole contents which ran at the same ended targets. */
    private static final double MIN_AMBIGUOUS_CONTENT_SCORE = 4;

    /** Fraction of the requests at ended targets from which on a part is a common one. */
    private static final double COMMON_FRACTION = 0.8;

    /**
     * Answers of the service, of any prompt, for each weighted end, without which a common part is
     * not identified: where hardly anything is answered, as right after the start of all hosts, the
     * ends do not tell it from the requests without it.
     */
    private static final double MIN_ANSWERS_PER_END = 4;

    /** Stands for all prompts of a service in the numbers of successes. */
    private static final String ANY_PART = "";

    /** Time for which a part that was shown to be sound is remembered; no end is older. */
    private static final long SOUND_TTL_NANOS = TimeUnit.MINUTES.toNanos(5);

    /** Targets that end within this time may share another cause, such as a loss of power. */
    private static final long COMMON_CAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    /** Time for which a preempted run has to be answered to speak for the parts of its prompt. */
    private static final long SOUND_RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final int MAX_CANDIDATES = 256;
    private static final int MAX_PEER_COUNTS = 1_024;

    /** A part, the ends under it, and the sum of their weights. */
    private record Score(String part, Set<String> targets, double sum) {}

    private final RecentEnds mEnds;
    private final SuccessCounts mOwnSuccesses;

    /** Kept apart, since there are as many contents as requests. */
    private final SuccessCounts mOwnContentSuccesses;

    private final Map<String, Map<String, Integer>> mPeerSuccesses = new HashMap<>();
    private final Map<String, Integer> mLastReported = new HashMap<>();

    /** When a part was last shown to be sound; ends of before do not speak against it any more. */
    private final Map<String, Long> mSoundSince = new HashMap<>();

    private final TargetIdentity mIdentity;

    /** What identifies the targets whose ends are recorded. */
    public enum TargetIdentity {
        /** An id that a target never has again after its end. */
        INCARNATION,
        /** A name that a target keeps when it starts again, so that it can end several times. */
        NAME
    }

    /** Creates a record without ends. */
    public PromptSuspects(TargetIdentity identity, long now) {
        mIdentity = identity;
        mEnds = new RecentEnds(identity);
        mOwnSuccesses = new SuccessCounts(now);
        mOwnContentSuccesses = new SuccessCounts(now);
    }

    private static String key(String service, String part) {
        return service + '/' + part;
    }

    /** Records a complete answer of this host. */
    public void recordSuccess(String service, PromptParts prompt, long now) {
        mOwnSuccesses.add(key(service, ANY_PART), now);
        prompt.shared().forEach(part -> ownSuccesses(part).add(key(service, part), now));
    }

    /**
     * Records a run that this host preempted. Long items are hardly ever answered whole while
     * online requests need their slots, so a run that was answered for a while counts as an answer.
     *
     * @param answeredNanos time from its first event to its preemption; 0 when it had no event
     */
    public void recordPreemption(String service, PromptParts prompt, long answeredNanos, long now) {
        if (answeredNanos >= SOUND_RUN_NANOS) {
            recordSuccess(service, prompt, now);
        }
    }

    private SuccessCounts ownSuccesses(String part) {
        return PromptParts.isWhole(part) ? mOwnContentSuccesses : mOwnSuccesses;
    }

    /** Records that a request with the parts of {@code suspect}, sent as a probe, was answered. */
    public void recordSound(Suspect suspect, long now) {
        suspect.parts().forEach(part -> mSoundSince.put(key(suspect.service(), part), now));
    }

    /** Returns the weight with which an end speaks against a part; 0 when it does not. */
    private double weightOf(String part, SeenEnd seen) {
        Long soundSince = mSoundSince.get(key(seen.end().service(), part));
        boolean isOutdated = soundSince != null && seen.seenAt() - soundSince <= 0;
        return isOutdated ? 0 : seen.end().weightOf(part);
    }

    /** Records how many answers with a part a peer has completed lately. */
    public void recordPeerSuccesses(String host, String service, String part, int count) {
        if (mPeerSuccesses.size() < MAX_PEER_COUNTS) {
            mPeerSuccesses
                    .computeIfAbsent(key(service, part), k -> new HashMap<>())
                    .put(host, count);
        }
    }

    /** Records the end of a target that a host has seen; reports of several hosts are joined. */
    public void recordEnd(TargetEnd end, long now) {
        dropOld(now);
        mEnds.record(end, now);
    }

    private void dropOld(long now) {
        mEnds.dropOld(now);
        mSoundSince.values().removeIf(since -> now - since > SOUND_TTL_NANOS);
        if (mEnds.all().isEmpty()) {
            mPeerSuccesses.clear();
            mLastReported.clear();
        }
    }

    /**
     * Returns this host's successes, by service and part, that peers need to judge the ends: those
     * of parts under which targets ended, where the number has at least doubled since it was last
     * returned.
     */
    public Map<Suspect, Integer> successesToReport() {
        Map<Suspect, Integer> changed = new TreeMap<>();
        for (SeenEnd seen : mEnds.all()) {
            addIfDoubled(seen.end().service(), ANY_PART, changed);
            seen.end().parts().forEach(part -> addIfDoubled(seen.end().service(), part, changed));
        }
        return changed;
    }

    private void addIfDoubled(String service, String part, Map<Suspect, Integer> changed) {
        String key = key(service, part);
        int count = ownSuccesses(part).count(key);
        if (count > 0 && count >= 2 * mLastReported.getOrDefault(key, 0)) {
            mLastReported.put(key, count);
            changed.put(new Suspect(service, Set.of(part)), count);
        }
    }

    /**
     * Returns the parts that are identified as a cause by now.
     *
     * @param isKnown whether a suspect was identified before; the ends under it need no further
     *     explanation
     */
    public Set<Suspect> findCauses(long now, Predicate<Suspect> isKnown) {
        dropOld(now);
        Set<String> services = new TreeSet<>();
        mEnds.all().forEach(seen -> services.add(seen.end().service()));
        Set<Suspect> causes = new TreeSet<>();
        for (String service : services) {
            findCausingContents(service, now, causes);
            findCauses(service, now, isKnown, causes);
        }
        causes.removeIf(isKnown);
        return causes;
    }

    /**
     * Adds the whole contents of requests that are a cause. They are judged without the parts that
     * they share with other requests: what is held back is nothing but the request itself.
     */
    private void findCausingContents(String service, long now, Set<Suspect> causes) {
        List<SeenEnd> ends = mEnds.settled(service, now);
        List<Score> scores = new ArrayList<>();
        for (String part : partsOfSeveral(ends, PromptParts::isWhole)) {
            double sum = contentScore(part, ends);
            if (sum >= MIN_SCORE && sum >= successes(service, part)) {
                scores.add(new Score(part, targetsOf(part, ends), sum));
            }
        }
        for (Score score : scores) {
            boolean alone = explainingAlike(score, scores).size() == 1;
            boolean enough = alone || score.sum() >= MIN_AMBIGUOUS_CONTENT_SCORE;
            if (enough && !isDominated(score, scores)) {
                causes.add(new Suspect(service, Set.of(score.part())));
            }
        }
    }

    /**
     * Returns the sum of the weighted ends under a content. Targets with registrations of their own
     * count one by one, also when they end at one moment: the same request may come at several
     * hosts at once. Targets known by name may be processes of one machine, which count once.
     */
    private double contentScore(String content, List<SeenEnd> ends) {
        if (mIdentity == TargetIdentity.NAME) {
            return score(content, ends).sum();
        }
        return ends.stream().mapToDouble(seen -> weightOf(content, seen)).sum();
    }

    private Set<String> targetsOf(String part, List<SeenEnd> ends) {
        Set<String> targets = new HashSet<>();
        for (SeenEnd seen : ends) {
            if (weightOf(part, seen) > 0) {
                targets.add(seen.end().target());
            }
        }
        return targets;
    }

    private void findCauses(
            String service, long now, Predicate<Suspect> isKnown, Set<Suspect> causes) {
        List<SeenEnd> ends = unexplainedEnds(service, now, isKnown);
        List<Score> scores = scores(service, ends);
        for (Score score : scores) {
            if (score.sum() < MIN_SCORE || isDominated(score, scores)) {
                continue;
            }
            Set<String> alike = explainingAlike(score, scores);
            if (alike.size() == 1 || alwaysTogether(alike, ends)) {
                causes.add(new Suspect(service, alike));
            } else if (score.sum() >= MIN_AMBIGUOUS_SCORE) {
                causes.add(new Suspect(service, Set.of(score.part())));
            }
        }
    }

    /** Returns the settled ends under which no part ran that is a known cause by itself. */
    private List<SeenEnd> unexplainedEnds(String service, long now, Predicate<Suspect> isKnown) {
        List<SeenEnd> ends = mEnds.settled(service, now);
        ends.removeIf(
                seen ->
                        seen.end().parts().stream()
                                .filter(part -> !PromptParts.isWhole(part))
                                .anyMatch(
                                        part -> isKnown.test(new Suspect(service, Set.of(part)))));
        return ends;
    }

    /**
     * Returns the scores of the parts that can be compared with others and were not completed more
     * often than targets ended.
     */
    private List<Score> scores(String service, List<SeenEnd> ends) {
        List<Score> scores = new ArrayList<>();
        for (String part : partsOfSeveral(ends, PromptParts::isShared)) {
            if (isExplainedByContent(service, part, ends) || isExplainedByItem(part, ends)) {
                continue;
            }
            Score score = score(part, ends);
            boolean comparable =
                    !isCommon(part, ends)
                            || successes(service, ANY_PART) >= MIN_ANSWERS_PER_END * score.sum();
            if (comparable && score.sum() >= successes(service, part)) {
                scores.add(score);
            }
        }
        return scores;
    }

    /**
     * Returns whether all runs with {@code part} at the ended targets were of one content, which is
     * hardly ever answered either, so that it explains the ends as well as the part does.
     */
    private boolean isExplainedByContent(String service, String part, List<SeenEnd> ends) {
        Set<String> contents = new HashSet<>();
        int runs = 0;
        for (SeenEnd seen : ends) {
            for (TargetEnd.Run run : seen.end().runs()) {
                if (run.parts().shared().contains(part)) {
                    contents.add(run.parts().content());
                    runs++;
                }
            }
        }
        String content = contents.iterator().next();
        boolean isOne = contents.size() == 1 && !content.isEmpty();
        return isOne && runs >= successes(service, content);
    }

    /**
     * Returns whether one item ran with {@code part} at each of the ended targets. That speaks no
     * more against the part than against the item, which may have met the ends by chance.
     */
    private static boolean isExplainedByItem(String part, List<SeenEnd> ends) {
        List<Set<String>> itemsByEnd = new ArrayList<>();
        for (SeenEnd seen : ends) {
            Set<String> items = new HashSet<>();
            seen.end().runs().stream()
                    .filter(run -> run.parts().shared().contains(part))
                    .forEach(run -> items.add(run.parts().itemId()));
            if (!items.isEmpty()) {
                itemsByEnd.add(items);
            }
        }
        Set<String> atAll = new HashSet<>(itemsByEnd.get(0));
        itemsByEnd.forEach(atAll::retainAll);
        return atAll.stream().anyMatch(item -> !item.isEmpty());
    }

    /** Returns the wanted parts that enough ends have in common to identify one of them. */
    private static List<String> partsOfSeveral(List<SeenEnd> ends, Predicate<String> isWanted) {
        Map<String, Integer> endsByPart = new TreeMap<>();
        ends.forEach(
                seen ->
                        seen.end().parts().stream()
                                .filter(isWanted)
                                .forEach(part -> endsByPart.merge(part, 1, Integer::sum)));
        return endsByPart.entrySet().stream()
                .filter(entry -> entry.getValue() >= MIN_SCORE)
                .map(Map.Entry::getKey)
                .limit(MAX_CANDIDATES)
                .toList();
    }

    private static boolean isCommon(String part, List<SeenEnd> ends) {
        int all = 0;
        int having = 0;
        for (SeenEnd seen : ends) {
            for (TargetEnd.Run run : seen.end().runs()) {
                all++;
                having += run.parts().shared().contains(part) ? 1 : 0;
            }
        }
        return having >= COMMON_FRACTION * all;
    }

    private Score score(String part, List<SeenEnd> ends) {
        double sum = 0;
        double weightOfMoment = 0;
        long moment = Long.MIN_VALUE;
        for (SeenEnd seen : ends) {
            double weight = weightOf(part, seen);
            if (weight == 0) {
                continue;
            }
            boolean newMoment = weightOfMoment == 0 || seen.seenAt() - moment > COMMON_CAUSE_NANOS;
            if (newMoment) {
                sum += weight;
                moment = seen.seenAt();
                weightOfMoment = weight;
            } else if (weight > weightOfMoment) {
                sum += weight - weightOfMoment;
                weightOfMoment = weight;
            }
        }
        return new Score(part, targetsOf(part, ends), sum);
    }

    /** Returns the targets of a service that ended since {@code since} in an end of some kind. */
    public Set<String> endedTargets(String service, long since, Predicate<TargetEnd> kind) {
        return mEnds.targets(service, since, kind);
    }

    /** Returns the targets whose ends speak against all parts of a suspect, for a log line. */
    public Set<String> endsUnder(Suspect suspect) {
        Set<String> targets = new TreeSet<>();
        for (SeenEnd seen : mEnds.all()) {
            boolean isUnder =
                    seen.end().service().equals(suspect.service())
                            && suspect.parts().stream().allMatch(p -> weightOf(p, seen) > 0);
            if (isUnder) {
                targets.add(seen.end().target());
            }
        }
        return targets;
    }

    /** Returns the number of answers, of all hosts, with the part of a suspect that has fewest. */
    public int answersWith(Suspect suspect) {
        return suspect.parts().stream()
                .mapToInt(part -> successes(suspect.service(), part))
                .min()
                .orElse(0);
    }

    private int successes(String service, String part) {
        String key = key(service, part);
        int count = ownSuccesses(part).count(key);
        for (int peerCount : mPeerSuccesses.getOrDefault(key, Map.of()).values()) {
            count += peerCount;
        }
        return count;
    }

    private static boolean isDominated(Score score, List<Score> scores) {
        return scores.stream()
                .anyMatch(
                        other ->
                                other.sum() > score.sum()
                                        && other.targets().containsAll(score.targets()));
    }

    private static Set<String> explainingAlike(Score score, List<Score> scores) {
        Set<String> alike = new TreeSet<>();
        for (Score other : scores) {
            if (other.sum() == score.sum() && other.targets().equals(score.targets())) {
                alike.add(other.part());
            }
        }
        return alike;
    }

    private static boolean alwaysTogether(Set<String> parts, List<SeenEnd> ends) {
        for (SeenEnd seen : ends) {
            for (TargetEnd.Run run : seen.end().runs()) {
                Set<String> shared = new HashSet<>(run.parts().shared());
                boolean hasSome = parts.stream().anyMatch(shared::contains);
                if (hasSome && !shared.containsAll(parts)) {
                    return false;
                }
            }
        }
        return true;
    }
}
