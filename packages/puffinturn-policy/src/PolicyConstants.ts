/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Limits of policy expressions, so that none can block the event loop of a box. */

/** Maximum number of AST nodes of an expression. */
export const MAX_EXPRESSION_NODES = 500;

/** Maximum nesting depth of an expression. */
export const MAX_EXPRESSION_DEPTH = 40;

/** Maximum number of comprehensions (`all`, `exists`, `map`, `filter`) in an expression. */
export const MAX_EXPRESSION_COMPREHENSIONS = 2;

/** Lists in the request body are truncated to this number of elements. */
export const MAX_LIST_ELEMENTS = 256;

/** Strings in the request body are truncated to this number of characters. */
export const MAX_TEXT_LENGTH = 10_000;

/** Maximum nesting depth of the request body; deeper objects and lists become null. */
export const MAX_BODY_DEPTH = 8;

/** Maximum length of a business key from an expression, characters. */
export const MAX_KEY_LENGTH = 300;
