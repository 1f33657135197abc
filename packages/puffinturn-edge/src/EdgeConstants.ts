/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Figures of the edge, with unit and reason. */

/** Time for a connection to an upstream to come up, ms; a dark one never does. */
export const CONNECT_MS = 400;

/**
 * Time for the rest of an answer that says that it did not run the request, ms; its
 * connection would be held for good by one whose body never ends.
 */
export const REJECTION_BODY_MS = 400;

/** Connections that never came up before a request is given up. */
export const MAX_UNSENT = 4;

/** Answers up to this many bytes are checked whole before they are passed on. */
export const WHOLE_ANSWER_BYTES = 256 * 1024;

/** Idle connections to upstreams are closed after this time, ms. */
export const IDLE_CONNECTION_MS = 4_000;

/** First pause of an upstream that can't be reached, ms; doubles each time. */
export const FIRST_PAUSE_MS = 250;

/** Longest pause of an upstream that can't be reached, ms. */
export const LONGEST_PAUSE_MS = 2_000;

/** Broken answers in a row after which an upstream pauses. */
export const BROKEN_BEFORE_PAUSE = 2;

/** Pause after an upstream said that it is full, ms. */
export const FULL_PAUSE_MS = 60;

/** `Retry-After` of a request for which there was no room, s. */
export const RETRY_AFTER_BUSY_S = 0.3;

/** `Retry-After` of a request that came to an edge about to end, s. */
export const RETRY_AFTER_STOPPING_S = 0.05;

/**
 * `Retry-After` of a request that was read too late, s. Its next try goes to
 * another edge, and has little time.
 */
export const RETRY_AFTER_READ_LATE_S = 0.05;

/** `Retry-After` while a dependency is missing, s. */
export const RETRY_AFTER_MISSING_S = 1;

/** `Retry-After` while tokens can't be had; most cuts last for seconds, s. */
export const RETRY_AFTER_TOKENS_S = 3;

/** Requests to one engine beyond this share of the mean go elsewhere. */
export const BOUNDED_LOAD = 1.25;

/**
 * Time that tokens held for a team should last, s; most cuts end within 9 s, and
 * what is held lies between REFILL_BELOW and RETURN_ABOVE of this. Gain over 10 s:
 * 98 instead of 96 in 100 served in a cut (mean of five seeds of the day in
 * TokensAfterLoss.test.ts without losses, as below).
 */
export const ALLOWANCE_SECONDS = 12;

/**
 * Share of a team's prepaid tokens that all halls hold before any demand is
 * known, so that a cut right then finds some. An edge of eight that dies then
 * takes 1 in 100 of the budgets with it; with a share of 0.4, a tenth of them.
 */
export const ALLOWANCE_FLOOR_SHARE = 0.08;

/**
 * Demand that an edge keeps tokens for which is not its hall's holder, s. The
 * holder lends more within milliseconds; what all edges keep dies with them.
 * Gain over 2 s: 98 instead of 96 in 100 served in a cut, as holders have more.
 */
export const FLOAT_SECONDS = 1;

/**
 * More tokens are asked for below this part of what is to be held: a cut may
 * come just before. Gain over 0.7: 98 instead of 97 in 100 served in a cut.
 */
export const REFILL_BELOW = 0.85;

/** Tokens go back to the core above this multiple of what is to be held. */
export const RETURN_ABOVE = 1.5;

/** Time after its start from which an edge holds tokens for its hall, ms. */
export const HOLD_AFTER_MS = 800;

/** How often allowances are weighed where nothing calls for it, ms. */
export const ALLOWANCE_TICK_MS = 1_000;

/** Pause before an exchange with the core that had no answer goes out again, ms. */
export const EXCHANGE_AGAIN_MS = 125;

/** Time in which tokens that became free are gathered to be handed on, ms. */
export const HAND_ON_AFTER_MS = 250;

/** Time constant of the measured demand, ms. */
export const DEMAND_WINDOW_MS = 6_000;

/** Longest time a request waits for tokens, ms. */
export const ALLOWANCE_WAIT_MS = 150;

/** Longest time for one exchange with the core, ms. */
export const EXCHANGE_MS = 1_500;

/** Longest time for another edge to lend what it has, ms; busy ones take 100. */
export const BORROW_MS = 200;

/** Longest time for the holder of the hall to lend, asking others first, ms. */
export const GATHER_MS = 500;

/** How long a budget found exhausted is taken to stay so, ms. */
export const EXHAUSTED_MS = 800;

/** Status of an upstream that is not the one that was meant. */
export const MISDIRECTED = 421;

/** Statuses from here on are errors of the upstream's own. */
export const FIRST_ERROR_STATUS = 500;

/** Cause of an attempt or a request that ended as its caller left. */
export const CALLER_LEFT = 'caller-left';
