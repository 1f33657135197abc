/**
 * Bundles every package into packages/NAME/dist. Imports of other packages stay
 * external, so that each package is loaded once at run time.
 */
import {build} from 'esbuild';
import {existsSync, readdirSync, rmSync} from 'node:fs';

const ENTRY_NAMES = ['index', 'main'];

const entryPoints = readdirSync('packages').flatMap((name) =>
  ENTRY_NAMES.filter((entry) =>
    existsSync(`packages/${name}/src/${entry}.ts`),
  ).map((entry) => ({entry, name})),
);

for (const {name} of entryPoints) {
  rmSync(`packages/${name}/dist`, {force: true, recursive: true});
}
await Promise.all(
  entryPoints.map(({entry, name}) =>
    build({
      bundle: true,
      entryPoints: [`packages/${name}/src/${entry}.ts`],
      format: 'esm',
      logLevel: 'warning',
      outfile: `packages/${name}/dist/${entry}.js`,
      packages: 'external',
      platform: 'node',
      sourcemap: true,
      target: 'node20',
    }),
  ),
);
