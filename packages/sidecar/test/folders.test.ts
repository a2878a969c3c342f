import { readdirSync, readFileSync } from 'node:fs'
import { dirname, join, relative, sep } from 'node:path'
import { fileURLToPath } from 'node:url'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { findCircles } from './fixtures/find-circles.js'

const test = suite('folders')

/** The sources of the modules that are compiled to `dist/src/core`. */
const core = fileURLToPath(new URL('../../src/core', import.meta.url))

/** Relative module names in `import`, `import type`, `export ... from` and `import()`. */
const relativeImport = /(?:\bfrom\s+|\bimport\s*\(?\s*)'(\.[^']+)'/g

test('no folders of core import one another in a circle, not even types', () => {
  const imports = readFolderImports()
  assert.ok(imports.get('forwarding')?.has('targets'), 'the imports are read')
  assert.equal(findCircles(imports), [])
})

test('a circle is found, without the folders that are not part of it', () => {
  const imports = new Map(Object.entries({ a: ['b'], b: ['c'], c: ['d', 'b'], d: ['b', 'e'], e: [] }).map(([name, list]) => [name, new Set(list)]))
  assert.equal(findCircles(imports), ['b', 'c', 'd'])
})

function readFolderImports (): Map<string, Set<string>> {
  const imports = new Map<string, Set<string>>()
  for (const file of readdirSync(core, { recursive: true, encoding: 'utf8' }).filter(name => name.endsWith('.ts'))) {
    const folder = folderOf(file)
    const imported = imports.get(folder) ?? new Set()
    imports.set(folder, imported)
    for (const name of readImports(file)) if (folderOf(name) !== folder) imported.add(folderOf(name))
  }
  return imports
}

/** Returns the modules that a module imports, as paths relative to `core`. */
function readImports (file: string): string[] {
  const text = readFileSync(join(core, file), 'utf8')
  return [...text.matchAll(relativeImport)].map(([, name = '']) => relative(core, join(core, dirname(file), name)))
}

/** The folder of a path relative to `core`, or the name of a module that is in no folder. */
function folderOf (path: string): string {
  return (path.split(sep)[0] ?? '').replace(/\.[jt]s$/, '')
}

test.run()
