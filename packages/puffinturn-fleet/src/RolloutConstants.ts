/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Bounds of roll-outs, each with its reason. */

/**
 * The part of the bounded share, and of the requests beyond it, that edges may be
 * granted while a version is tried. The rest of the bound is for the shift, in which all
 * requests go to the new version until it shows to be bad.
 */
export const GRANTED_PART = 0.35;

/** Grants that an edge may hold unused: enough for one exchange of a quiet edge. */
export const LEAST_UNUSED_GRANTS = 4;

/** The same as a part of its requests so far, for busy edges. */
export const UNUSED_GRANTS_PART = 0.02;

/**
 * Exposure taken out of the log at a time beyond what is asked for, in requests: few
 * enough that a lost leader's block is no loss, enough to spare most records.
 */
export const BLOCK_REQUESTS = 16;

/**
 * How often a leader looks at the roll-outs under way, ms: a part of the time within
 * which a version that fails under load must be found, as all requests go to it then.
 */
export const STEP_MS = 100;

/** How often a box looks whether there are any, where nothing wakes it, ms. */
export const IDLE_LOOK_MS = 1_000;

/** Time since the order is written to the log this often at least, ms. */
export const ELAPSED_NOTE_MS = 2_000;

/** Lines about exposure come this often at most, ms. */
export const EXPOSURE_LINE_MS = 1_000;

/**
 * How long a leader gathers the upstreams of a service before it names its stable
 * version, ms: longer than they take between two heartbeats, so that most are known.
 */
export const STABLE_GATHER_MS = 3_000;

/**
 * An order that comes again this soon after it was taken is a copy, ms: longer than
 * operators send it again for, with a slow way on top.
 */
export const COPY_WITHIN_MS = 10_000;

/** The part of its time that a version is tried for at least before all use it. */
export const TRIAL_PART = 0.6;

/** From this part of the time on less evidence is enough, as time runs out. */
export const LATE_TRIAL_PART = 0.8;

/**
 * The part of the new version's requests that are answered, over that of the stable
 * one, before it counts as good: the answers of a slow one are still to come.
 */
export const LEAST_ANSWERED_PART = 0.6;

/**
 * The part of its time after which a version is tried though no upstream of it is warm
 * yet: cold ones are slow and show little, but so does no trial.
 */
export const COLD_WAIT_PART = 0.25;

/** Routes that a verdict gives figures of, so that its record stays small. */
export const FIGURED_ROUTES = 8;

/** Answers of the new version before it counts as good. */
export const LEAST_ANSWERS = 25;

/** The same once time runs out, for services with few requests. */
export const LEAST_LATE_ANSWERS = 8;

/** Answers of the new version on each main route before it counts as good. */
export const LEAST_ROUTE_ANSWERS = 8;

/** The part of a service's answers from which on a route is a main one. */
export const MAIN_ROUTE_PART = 0.05;

/**
 * Slots of the new version's ready upstreams as a part of those of the stable one
 * before all requests go to them, so that they bear the load.
 */
export const LEAST_SLOTS_PART = 0.75;

/**
 * The same once time runs out: some of the stable version's may have crashed, which
 * shows late.
 */
export const LEAST_LATE_SLOTS_PART = 0.5;

/**
 * An outcome falls this long before the deadline at the latest, ms: a record has to be
 * written and the operator has to read it in time.
 */
export const VERDICT_BEFORE_DEADLINE_MS = 500;

/**
 * A shift begins this long before the deadline where the bound leaves no time for an
 * earlier one, ms: one second for a version that fails under load to be found, in which
 * about the rest of the bound is used. What is open at the former version for longer
 * breaks off.
 */
export const SHIFT_BEFORE_DEADLINE_MS = 1_500;

/** Later than this before the deadline no shift begins, ms: edges have to hear of it. */
export const LAST_SHIFT_BEFORE_DEADLINE_MS = 750;

/**
 * The part of its time that a version serves all requests for at least before it is
 * completed early, as some fail under load only.
 */
export const LEAST_SHIFT_PART = 0.1;

/**
 * How long a new leader hears edges before it completes a roll-out whose time is over,
 * ms: two reports of an edge, so that it does not complete what has turned bad.
 */
export const LEARN_MS = 500;

/** How long it waits for the first of them, ms: edges may have started anew as well. */
export const LEARN_WITHOUT_REPORTS_MS = 3_000;

/** An edge that has not reported for this long is not waited for, ms. */
export const REPORTED_LATELY_MS = 1_500;

/** Error rate that no test takes for raised: a service without any errors would be judged by one. */
export const NORMAL_FAILURES = 0.02;

/** A bad version's error rate lies this much above the normal one; less can't be told within a trial. */
export const BAD_FAILURES_LIFT = 0.1;

/** Part of slow answers that no test takes for raised: its prompts are not kept yet. */
export const NORMAL_SLOW = 0.05;

/** How far above the normal part of slow answers a bad version's is. */
export const BAD_SLOW_LIFT = 0.25;

/** Factor on the rate seen of the stable version, which is known from few answers. */
export const NORMAL_MARGIN = 1.5;

/** Answers that the normal rate counts for beside those of the stable version. */
export const PRIOR_ANSWERS = 50;

/** No test is made of a rate this high: good and bad look alike then. */
export const HOPELESS_RATE = 0.9;

/** Time over the expected one from which on an answer may count as slow. */
export const LEAST_SLOW_RATIO = 2;

/** Steps with answers of the stable version that its rates are taken from. */
export const STABLE_STEPS = 50;

/**
 * Log likelihood ratio from which on a version is bad. A good version with the normal
 * rate is taken for bad less than once in 10,000 answers.
 */
export const BAD_FROM = Math.log(10_000);

/** From here on a version is not called good, as the next answers may decide. */
export const SUSPECT_FROM = BAD_FROM / 3;

/**
 * The most that one step adds, so that one upstream that breaks off all that it has at
 * once does not decide about its version.
 */
export const MOST_PER_STEP = BAD_FROM * 0.6;
