/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Settings of a box and declarations of operators, checked. */
export type {CheckFailure, Problem} from './Checked';
export {checkFailure, checkValue, parseJson} from './Checked';
export type {
  AllowRule,
  BudgetSpec,
  Declaration,
  DeclarationKind,
  DrainSpec,
  HashedKey,
  PolicySpec,
  PoolSpec,
  RefuseRule,
  ServiceSpec,
  TeamSpec,
  UpstreamSpec,
} from './DeclarationSchema';
export {DeclarationFileSchema, DeclarationSchema} from './DeclarationSchema';
export type {DeclarationFile} from './Files';
export {readDeclarations, readSettings} from './Files';
export {findKey, readFleetKey, readSecret} from './Secrets';
export type {FleetBox, Settings, TlsSettings} from './SettingsSchema';
export {SettingsSchema} from './SettingsSchema';
