import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'

const root = fileURLToPath(new URL('../../../../', import.meta.url))

function listPages (folder: string): string[] {
  return readdirSync(join(root, folder), { withFileTypes: true })
    .filter(entry => entry.isFile() && entry.name.endsWith('.md'))
    .map(entry => join(folder, entry.name))
}

/** Lists the relative links of a page without their anchors; code blocks are skipped. */
function listLinks (page: string): string[] {
  const text = readFileSync(join(root, page), 'utf8').replace(/^```[^]*?^```/gm, '')
  return [...text.matchAll(/!?\[[^\]]*\]\(([^)\s]+)\)/g)]
    .map(match => (match[1] as string).replace(/#.*$/, ''))
    .filter(link => link !== '' && !/^[a-z]+:/.test(link))
}

const pages = [...listPages('.'), ...listPages('docs'), ...listPages('docs/operators')]
const documentation = suite('documentation')

documentation('the main pages are found', () => {
  for (const page of ['README.md', 'CONTRIBUTING.md', 'docs/DESIGN.md', 'docs/OPERATORS.md']) assert.ok(pages.includes(page), page)
})

for (const page of pages) {
  documentation(`every relative link of ${page} points to an existing file`, () => {
    const broken = listLinks(page).filter(link => !existsSync(join(root, dirname(page), link)))
    assert.equal(broken, [])
  })
}

documentation('docs/OPERATORS.md links to every page for operators', () => {
  const indexed = new Set(listLinks('docs/OPERATORS.md').map(link => join('docs', link)))
  assert.equal(listPages('docs/operators').filter(page => !indexed.has(page)), [])
})

documentation('every log event of the daemon is documented', () => {
  const text = readFileSync(join(root, 'docs/OPERATORS.md'), 'utf8')
  const source = readFileSync(join(root, 'packages/auburnturnd/src/run-node.ts'), 'utf8')
  const events = [...source.matchAll(/logger\.\w+\('([\w-]+)'/g)].map(match => match[1] as string)
  assert.ok(events.length >= 5)
  for (const event of events) assert.ok(text.includes(`\`${event}\``), event)
})

documentation.run()
