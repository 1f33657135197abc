/** Prints the counts of all tests as the last line. */
export default class CountReporter {
  onRunComplete(_contexts, results) {
    const {numFailedTests, numPassedTests, numRuntimeErrorTestSuites} = results;
    const failed = numFailedTests + numRuntimeErrorTestSuites;
    process.stderr.write(`\n${numPassedTests} passed, ${failed} failed\n`);
  }
}
