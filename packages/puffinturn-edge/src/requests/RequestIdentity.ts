/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Computes, once for each request, what it is recognized by if it crashes upstreams. */
import {fingerprintOf, partFeaturesOf} from 'puffinturn-quarantine';

import type {CallerRequest} from '../callers/CallerRequest';
import type {RequestPlan} from './RequestPlan';

/** What a request is recognized by. */
export interface RequestFeatures {
  readonly fingerprint: string;
  /** Features of the parts of its prompt. */
  readonly parts: readonly string[];
}

/** Features of a prompt at one service. */
interface ServiceParts {
  readonly parts: readonly string[];
  readonly service: string;
}

/** The features of one request, computed when they are first needed. */
export class RequestIdentity {
  private cachedFingerprint: string | undefined;
  private cachedParts: ServiceParts | undefined;

  constructor(private readonly caller: CallerRequest) {}

  /** The fingerprint, if it was needed so far. */
  get knownFingerprint(): string | undefined {
    return this.cachedFingerprint;
  }

  /** Returns the fingerprint of the request with its whole body. */
  fingerprint({team}: RequestPlan, body: Buffer): string {
    const {caller} = this;
    this.cachedFingerprint ??= fingerprintOf({
      body,
      caller: team?.name ?? '',
      host: caller.header('host') ?? '',
      method: caller.method,
      path: caller.path,
    });
    return this.cachedFingerprint;
  }

  /** Returns the features of the parts of the prompt at the service of a plan. */
  parts({promptParts, service, team}: RequestPlan): readonly string[] {
    const {name} = service;
    if (this.cachedParts?.service !== name) {
      const parts = partFeaturesOf({
        caller: team?.name ?? '',
        partIds: promptParts.map(({id}) => id),
        service: name,
      });
      this.cachedParts = {parts, service: name};
    }
    return this.cachedParts.parts;
  }

  /** Returns all features of the request. */
  features(plan: RequestPlan, body: Buffer): RequestFeatures {
    return {
      fingerprint: this.fingerprint(plan, body),
      parts: this.parts(plan),
    };
  }
}
