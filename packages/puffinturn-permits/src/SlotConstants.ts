/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Constants of slots. */

/** Wait after a refusal, ms; about the time in which some request ends. */
export const SLOT_WAIT_MS = 60;

/** Delay of a report of released slots, ms; reports of this time are sent together. */
export const SLOT_REPORT_DELAY_MS = 15;

/** Interval at which a box repeats how many slots it holds, ms. */
export const SLOT_REFRESH_INTERVAL_MS = 1_000;

/** Time after which the slots of a box that sends no reports are free again, ms. */
export const SLOT_EXPIRY_MS = 5_000;

/** Share of the slots that is granted at first. */
export const INITIAL_SLOT_SHARE = 0.25;

/**
 * Time over which the granted share rises to all slots, ms. A new granter does not know
 * yet what other boxes hold, and an upstream that has just started is filled slowly.
 */
export const SLOT_RAMP_MS = 2_000;

/** Slots that are given back to an upstream a second after rejections lowered them. */
export const SLOT_RECOVERY_PER_SECOND = 1;

/** Lowest share of the slots to which rejections lower what is granted. */
export const MIN_SLOT_SHARE = 0.5;

/** Share of the slots that the least urgent requests leave to others. */
export const URGENT_SLOT_SHARE = 0.1;

/** Share of the slots that the secondary granter hands out while it replaces the first. */
export const SECONDARY_SLOT_SHARE = 0.25;
