/**
 * Starts one of the examples on loopback, each box and the stand-ins as a
 * process of its own: `npm run example -- cascadia` (or valtrebbia).
 */
import {spawn} from 'node:child_process';
import {mkdirSync, readdirSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {request} from 'undici';

const name = process.argv[2] ?? 'cascadia';
const root = join('examples', name);
const data = join('.data', name);
const READY_MS = 40_000;

mkdirSync(data, {mode: 0o700, recursive: true});
writeFileSync(join(data, 'fleet.key'), `example-${name}-`.repeat(4), {
  mode: 0o600,
});
writeFileSync(join(data, 'operator.key'), `pt-${name}-operator`, {mode: 0o600});

const children = [];

function start(file, ...args) {
  const child = spawn(process.execPath, [file, ...args], {
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  children.push(child);
  return new Promise((resolve) => child.once('exit', resolve));
}

function run(...args) {
  const tool = join('packages', 'puffinturn-cli', 'dist', 'main.js');
  const child = spawn(process.execPath, [tool, ...args], {stdio: 'inherit'});
  return new Promise((resolve) => child.once('exit', resolve));
}

async function waitFor(url) {
  const end = Date.now() + READY_MS;
  while (Date.now() < end) {
    const answer = await request(url).catch(() => undefined);
    await answer?.body.dump();
    if (answer?.statusCode === 200) {
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  throw new Error(`${url} is not ready`);
}

const files = readdirSync(join(root, 'settings')).map((file) =>
  join(root, 'settings', file),
);
const settings = files.map((file) => JSON.parse(readFileSync(file, 'utf8')));
const exits = [
  start(
    'packages/puffinturn-stand-in/dist/main.js',
    join(root, 'stand-ins.json'),
  ),
  ...files.map((file) =>
    start('packages/puffinturn-daemon/dist/main.js', file),
  ),
];
process.on('SIGINT', () => {});
process.once('SIGTERM', () => children.forEach((child) => child.kill()));

const operator = `http://127.0.0.1:${settings[0].operators.port}`;
await waitFor(`${operator}/healthz`);
const access = ['--url', operator, '--key-file', join(data, 'operator.key')];
await run('apply', '-f', join(root, 'declarations'), ...access);
for (const {callers} of settings) {
  await waitFor(`http://127.0.0.1:${callers.port}/readyz`);
}
const ports = settings.map(({callers}) => callers.port).join(', ');
process.stdout.write(`
${name} is ready: callers on 127.0.0.1 ports ${ports}
  npx puffinturn status ${access.join(' ')}
Ctrl-C stops everything.
`);
await Promise.all(exits);
