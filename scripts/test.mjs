/**
 * Runs jest with the arguments given. Tests that KNOWN-RED.txt names may fail:
 * they are printed, and the run passes if nothing else failed. One that passes
 * is an error too, so that the list is never longer than what is red.
 */
import {spawnSync} from 'node:child_process';
import {existsSync, mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

const LIST = 'KNOWN-RED.txt';
const MAX_KNOWN = 3;

/** One line of the list: the full name of a test, its cause and its issue. */
function readKnown() {
  if (!existsSync(LIST)) {
    return [];
  }
  return readFileSync(LIST, 'utf8')
    .split('\n')
    .filter((line) => line.trim() !== '')
    .map((line) => line.split(' | ').map((field) => field.trim()))
    .map(([name, cause, issue]) => ({cause, issue, name}));
}

function runJest(report) {
  const {status} = spawnSync(
    process.execPath,
    [
      '--experimental-vm-modules',
      '--disable-warning=ExperimentalWarning',
      'node_modules/jest/bin/jest.js',
      '--json',
      `--outputFile=${report}`,
      ...process.argv.slice(2),
    ],
    {stdio: 'inherit'},
  );
  return status ?? 1;
}

function judge(status, known, report) {
  if (known.length > MAX_KNOWN) {
    console.error(`${LIST} names more than ${MAX_KNOWN} tests`);
    return 1;
  }
  if (known.length === 0 || !existsSync(report)) {
    return status;
  }
  const {numRuntimeErrorTestSuites, testResults} = JSON.parse(
    readFileSync(report, 'utf8'),
  );
  const tests = testResults.flatMap(({assertionResults}) => assertionResults);
  const named = new Set(known.map(({name}) => name));
  const isKnown = ({fullName}) => named.has(fullName);
  const failed = tests.filter(({status: outcome}) => outcome === 'failed');
  const passed = tests.filter(({status: outcome}) => outcome === 'passed');
  for (const {cause, issue, name} of known) {
    console.error(`known red: ${name}: ${cause} (${issue})`);
  }
  for (const {fullName} of passed.filter(isKnown)) {
    console.error(`passes, take it off ${LIST}: ${fullName}`);
  }
  const sound =
    numRuntimeErrorTestSuites === 0 &&
    failed.every(isKnown) &&
    !passed.some(isKnown);
  return sound ? 0 : 1;
}

const folder = mkdtempSync(join(tmpdir(), 'puffinturn-tests-'));
const report = join(folder, 'report.json');
const status = runJest(report);
process.exitCode = judge(status, readKnown(), report);
rmSync(folder, {recursive: true});
