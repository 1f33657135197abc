import headers from 'eslint-plugin-headers';
import jsdoc from 'eslint-plugin-jsdoc';
import simpleImportSort from 'eslint-plugin-simple-import-sort';
import tseslint from 'typescript-eslint';

const LICENCE =
  'Copyright (c) the puffinturn authors.\n\nThis source code is licensed under the Apache License 2.0 found in the\nLICENSE file in the root directory of this source tree.';

const PLATFORM_NAMES = [
  'attempt-id',
  'deadline-ms',
  'expect-instance',
  'not-executed',
  'prompt-prefix',
  'puffinturn_settings',
  'request-priority',
  'server-seal',
  'token-usage',
  'api.instances',
  'api.config',
  'api.readyz',
].join('|');

export default tseslint.config(
  {ignores: ['**/dist/**', '**/node_modules/**', 'reports/**', 'target/**']},
  ...tseslint.configs.recommended,
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    plugins: {headers, jsdoc, 'simple-import-sort': simpleImportSort},
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-import-type-side-effects': 'error',
      '@typescript-eslint/no-unused-vars': [
        'error',
        {
          argsIgnorePattern: '^_',
          ignoreRestSiblings: true,
          varsIgnorePattern: '^_',
        },
      ],
      '@typescript-eslint/only-throw-error': 'error',
      '@typescript-eslint/return-await': ['error', 'in-try-catch'],
      eqeqeq: 'error',
      'headers/header-format': [
        'error',
        {content: LICENCE, source: 'string', style: 'jsdoc'},
      ],
      'jsdoc/require-jsdoc': [
        'error',
        {
          contexts: ['TSInterfaceDeclaration', 'TSTypeAliasDeclaration'],
          enableFixer: false,
          publicOnly: true,
          require: {ClassDeclaration: true, FunctionDeclaration: true},
        },
      ],
      'no-restricted-syntax': [
        'error',
        {
          message: 'Use a constant object instead of an enum.',
          selector: 'TSEnumDeclaration',
        },
        {
          message: 'Use a typed error instead of a string.',
          selector: "CallExpression[callee.name='err'] > Literal",
        },
      ],
      'prefer-const': 'error',
      'simple-import-sort/exports': 'error',
      'simple-import-sort/imports': 'error',
    },
  },
  {
    files: ['packages/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: ['**/platform/**'],
              message: 'Packages must not import from platform/.',
            },
          ],
        },
      ],
      'no-restricted-syntax': [
        'error',
        {
          message: 'Use a constant object instead of an enum.',
          selector: 'TSEnumDeclaration',
        },
        {
          message: 'Use a typed error instead of a string.',
          selector: "CallExpression[callee.name='err'] > Literal",
        },
        {
          message: 'Platform-specific names are allowed only in platform/.',
          selector: `Literal[value=/${PLATFORM_NAMES}/i]`,
        },
      ],
    },
  },
);
