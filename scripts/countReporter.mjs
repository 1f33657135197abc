/** Prints the counts of all tests as the last line. */
import {writeSync} from 'node:fs';

const STANDARD_OUTPUT = 1;

export default class CountReporter {
  onRunComplete(_contexts, results) {
    const {numFailedTests, numPassedTests, numRuntimeErrorTestSuites} = results;
    const failed = numFailedTests + numRuntimeErrorTestSuites;
    // The summary of jest's own reporter comes after this call.
    process.once('exit', () =>
      writeSync(
        STANDARD_OUTPUT,
        `${numPassedTests} passed, ${failed} failed\n`,
      ),
    );
  }
}
