/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Bounds on policy expressions, so that none can hold a box up. */

/** Nodes of one expression at most. */
export const MAX_EXPRESSION_NODES = 500;

/** Nesting of one expression at most. */
export const MAX_EXPRESSION_DEPTH = 40;

/** Loops (all, exists, map, filter, …) in one expression at most. */
export const MAX_EXPRESSION_LOOPS = 2;

/** Elements of a list in the request body that an expression may see. */
export const MAX_LIST_ELEMENTS = 256;

/** Characters of a text in the request body that an expression may see. */
export const MAX_TEXT_LENGTH = 10_000;

/** Levels of the request body that an expression may see. */
export const MAX_BODY_DEPTH = 8;

/** Longest business key that an expression may give, characters. */
export const MAX_KEY_LENGTH = 300;
