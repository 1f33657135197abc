/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Validated settings of a box and declarations of operators. */
export type {LoadedDeclaration} from './ConfigurationFiles';
export {readDeclarations, readSettings} from './ConfigurationFiles';
export type {
  AllowRule,
  BudgetSpec,
  Declaration,
  DeclarationKind,
  DrainSpec,
  HashedApiKey,
  PolicySpec,
  PoolSpec,
  RefuseRule,
  ServiceSpec,
  TeamSpec,
  UpstreamSpec,
} from './DeclarationSchema';
export {DeclarationFileSchema, DeclarationSchema} from './DeclarationSchema';
export {findApiKey, readFleetKey, readSecret} from './Secrets';
export type {FleetBox, Settings, TlsSettings} from './SettingsSchema';
export {SettingsSchema} from './SettingsSchema';
export type {ValidationFailure, ValidationProblem} from './Validation';
export {createValidationFailure, parseJson, validateValue} from './Validation';
