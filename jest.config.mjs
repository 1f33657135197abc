export default {
  extensionsToTreatAsEsm: ['.ts'],
  moduleNameMapper: {
    '^shared$': '<rootDir>/packages/shared/src/index.ts',
    '^(puffinturn-[a-z-]+)$': '<rootDir>/packages/$1/src/index.ts',
  },
  testMatch: [
    '<rootDir>/packages/*/src/__tests__/**/*.test.ts',
    '<rootDir>/platform/__tests__/**/*.test.ts',
  ],
  testPathIgnorePatterns: [
    '/node_modules/',
    '/dist/',
    '/target/',
    // Run by themselves, with jest.crowds.config.mjs.
    '/crowds/',
  ],
  // Catches hung tests only; slow tests on a busy machine must not fail.
  testTimeout: 300_000,
  transform: {
    '^.+\\.ts$': [
      '@swc/jest',
      {
        jsc: {
          parser: {explicitResourceManagement: true, syntax: 'typescript'},
          target: 'es2022',
        },
        module: {type: 'es6'},
      },
    ],
  },
};
