/** Tests that expose processes to crowds of clients; they run one at a time. */
import config from './jest.config.mjs';

export default {
  ...config,
  maxWorkers: 1,
  testMatch: [
    '<rootDir>/packages/*/src/__tests__/crowds/**/*.test.ts',
    '<rootDir>/platform/__tests__/crowds/**/*.test.ts',
  ],
  testPathIgnorePatterns: ['/node_modules/', '/dist/', '/target/'],
};
