/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Commands and options of the command-line tool `puffinturn`. */
import type {CAC} from 'cac';
import {cac} from 'cac';
import {readSecret} from 'puffinturn-settings';
import {describeError} from 'shared';

import {applyDeclarations, checkFiles, showDiff} from './ApplyCommand';
import type {ExitCode} from './ExitCodes';
import {EXIT} from './ExitCodes';
import {showRequestHistory} from './ExplainCommand';
import {
  generateKey,
  setDrain,
  showBudgets,
  showDeclarations,
  showStatus,
  showTimeline,
} from './FleetCommands';
import {showLimits} from './LimitsCommand';
import {OperatorClient} from './OperatorClient';
import {Output} from './Output';

interface Options {
  readonly box?: string;
  readonly budget?: string;
  readonly caFile?: string;
  readonly file?: string;
  readonly json?: boolean;
  readonly keyFile?: string;
  readonly logs?: string;
  readonly prune?: boolean;
  readonly request?: string;
  readonly settings?: string;
  readonly since?: string;
  readonly trace?: string;
  readonly upstream?: string;
  readonly url?: string;
}

const DEFAULT_URL = 'http://127.0.0.1:7081';
const VERSION = '0.1.0';

/** Creates the parser with all commands. */
function createCli(): CAC {
  const cli = cac('puffinturn');
  addOptions(cli);
  addFileCommands(cli);
  addFleetCommands(cli);
  addLogCommands(cli);
  addLimitsCommand(cli);
  cli.help();
  cli.version(VERSION);
  return cli;
}

function addOptions(cli: CAC): void {
  cli
    .option('--url <url>', `Operators' address of any box (${DEFAULT_URL})`)
    .option('--key-file <file>', 'File with the operator key (PUFFINTURN_KEY)')
    .option('--ca-file <file>', "File with the CA of the boxes' certificates")
    .option('--json', 'Print JSON');
}

async function readKey(options: Options, output: Output): Promise<string> {
  if (options.keyFile === undefined) {
    return process.env.PUFFINTURN_KEY ?? '';
  }
  const secret = await readSecret(options.keyFile);
  return secret.match(
    (content) => content.toString('utf8').trim(),
    (failure) => {
      output.printError(failure.message);
      return '';
    },
  );
}

async function withClient(
  options: Options,
  run: (client: OperatorClient, output: Output) => Promise<ExitCode>,
): Promise<ExitCode> {
  const output = new Output(options.json === true);
  const key = await readKey(options, output);
  if (key === '') {
    output.printError('give a key by --key-file or PUFFINTURN_KEY');
    return EXIT.usage;
  }
  const opened = await OperatorClient.open({
    caFile: options.caFile,
    key,
    url: options.url ?? process.env.PUFFINTURN_URL ?? DEFAULT_URL,
  });
  if (opened.isErr()) {
    output.printError(opened.error.message);
    return EXIT.usage;
  }
  await using client = opened.value;
  return await run(client, output);
}

function declarationsPath(options: Options): string {
  return options.file ?? '.';
}

function addFileCommands(cli: CAC): void {
  cli
    .command('apply', 'Send the changes of a folder of declarations')
    .option('-f, --file <path>', 'Folder or file of declarations (.)')
    .option('--prune', 'Also remove declarations that are in no file')
    .example('puffinturn apply -f examples/cascadia/declarations')
    .action((options: Options) =>
      withClient(options, (client, output) =>
        applyDeclarations(
          client,
          declarationsPath(options),
          options.prune === true,
          output,
        ),
      ),
    );

  cli
    .command('diff', 'Show the changes that apply would make')
    .option('-f, --file <path>', 'Folder or file of declarations (.)')
    .action((options: Options) =>
      withClient(options, (client, output) =>
        showDiff(client, declarationsPath(options), output),
      ),
    );

  cli
    .command('check', 'Validate files without calling a fleet')
    .option('-f, --file <path>', 'Folder or file of declarations')
    .option('--settings <file>', 'Settings of a box')
    .action((options: Options) =>
      checkFiles(
        options.file,
        options.settings,
        new Output(options.json === true),
      ),
    );
}

function addLogCommands(cli: CAC): void {
  cli
    .command(
      'explain <request>',
      'Show the history of a request from log files',
    )
    .option('--logs <folder>', 'Folder with the output of every process (.)')
    .example('puffinturn explain 9c41d07be2a35f68 --logs logs')
    .action((request: string, options: Options) =>
      showRequestHistory(
        String(request),
        options.logs ?? '.',
        new Output(options.json === true),
      ),
    );
}

function addLimitsCommand(cli: CAC): void {
  cli
    .command('limits', 'List the rate limits of upstreams from log files')
    .option('--logs <folder>', 'Folder with the output of every process (.)')
    .action((options: Options) =>
      showLimits(options.logs ?? '.', new Output(options.json === true)),
    );
}

function addFleetCommands(cli: CAC): void {
  cli
    .command('get [kind] [name]', 'Show declarations in force')
    .example('puffinturn get budget clinics-north')
    .action((kind: string | undefined, name: string | undefined, options) =>
      withClient(options as Options, (client, output) =>
        showDeclarations(client, kind, name, output),
      ),
    );

  cli
    .command('status', 'Show boxes and control groups')
    .action((options: Options) => withClient(options, showStatus));

  cli
    .command('budget [name]', 'Show budgets in all regions')
    .action((name: string | undefined, options: Options) =>
      withClient(options, (client, output) =>
        showBudgets(client, name, output),
      ),
    );

  for (const enabled of [true, false]) {
    cli
      .command(
        enabled ? 'drain' : 'undrain',
        enabled ? 'Send no new work to a box, hall or upstream' : 'End a drain',
      )
      .option('--box <box>', 'The box')
      .option('--hall <hall>', 'All upstreams of a data hall')
      .option('--upstream <pool/upstream>', 'The upstream')
      .action((options: Options) =>
        withClient(options, (client, output) =>
          setDrain(client, options, enabled, output),
        ),
      );
  }

  cli
    .command('timeline', 'Show events of all boxes, ordered by time')
    .option('--box <box>', 'Only this box')
    .option('--budget <budget>', 'Only this budget')
    .option('--request <request>', 'Only this request')
    .option('--since <ms>', 'Only from this time on, in ms since the epoch')
    .option('--trace <file>', 'Write the Chrome trace format')
    .action((options: Options) =>
      withClient(options, (client, output) =>
        showTimeline(client, options, options.trace, output),
      ),
    );

  cli
    .command('key', 'Generate a key and its digest')
    .action(async (options: Options) =>
      generateKey(new Output(options.json === true)),
    );
}

/** Runs the tool with the arguments of a process and returns the exit code. */
export async function runCli(argv: readonly string[]): Promise<ExitCode> {
  const cli = createCli();
  try {
    cli.parse([...argv], {run: false});
    if (cli.options.help === true || cli.options.version === true) {
      return EXIT.ok;
    }
    if (cli.matchedCommand === undefined) {
      cli.outputHelp();
      return EXIT.usage;
    }
    return (await cli.runMatchedCommand()) as ExitCode;
  } catch (error) {
    process.stderr.write(`puffinturn: ${describeError(error)}\n`);
    return EXIT.usage;
  }
}
