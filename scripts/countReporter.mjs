/** Jest reporter that prints the test counts as the last line of output. */
import {writeSync} from 'node:fs';

const STDOUT_FD = 1;

export default class CountReporter {
  onRunComplete(_contexts, results) {
    const {numFailedTests, numPassedTests, numRuntimeErrorTestSuites} = results;
    const failed = numFailedTests + numRuntimeErrorTestSuites;
    // Jest's default reporter prints its summary after this call.
    process.once('exit', () =>
      writeSync(STDOUT_FD, `${numPassedTests} passed, ${failed} failed\n`),
    );
  }
}
