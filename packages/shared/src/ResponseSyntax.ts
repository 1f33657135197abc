/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * What makes the head of an HTTP response one that can be passed on. Its fields may hold the
 * same characters as those of a request.
 */

/** Statuses of final responses (RFC 9110, section 15). */
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;

/** The only transfer coding, as requests name no other (RFC 9110, section 10.1.4). */
const CHUNKED_CODING = 'chunked';

/** Matches control characters, which no reason phrase may hold (RFC 9112, section 4). */
const INVALID_REASON_CHARACTER = /[^\t\x20-\x7e\x80-\uffff]/;

/** Whether a status is one of a final response. */
export function isFinalStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
}

/** Whether a text may be the reason phrase of a status line. */
export function isReasonPhrase(text: string): boolean {
  return !INVALID_REASON_CHARACTER.test(text);
}

/**
 * Whether a body can be decoded; `coding` is the value of `Transfer-Encoding`, with repeated
 * ones joined, and undefined without the header.
 */
export function isKnownTransferCoding(coding: string | undefined): boolean {
  return coding === undefined || coding.toLowerCase() === CHUNKED_CODING;
}

/** Characters of a field name (RFC 9110, section 5.1). */
const FIELD_NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;

/** A character that no field may hold (RFC 9110, section 5.5), in Latin-1. */
const INVALID_FIELD_CHARACTER = /[^\t\x20-\x7e\x80-\xff]/;

/** Whether a text holds only characters that a field may hold; its line has no end in it. */
export function hasOnlyFieldCharacters(text: string): boolean {
  return !INVALID_FIELD_CHARACTER.test(text);
}

/** Whether a header or trailer field is well-formed; some parsers take others too. */
export function isField(name: string, value: string): boolean {
  return FIELD_NAME.test(name) && hasOnlyFieldCharacters(value);
}
