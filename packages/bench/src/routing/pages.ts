import { existsSync, readFileSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('../../../../../', import.meta.url))

/** Writes a file below the root of the repository. */
export function writePage (path: string, content: string): void {
  writeFileSync(`${root}${path}`, content)
}

/** Replaces what stands between the markers of `section` in a Markdown page. */
export function fillSection (path: string, section: string, content: string): void {
  const file = `${root}${path}`
  if (!existsSync(file)) return
  const begin = `<!-- bench:${section} -->`
  const end = `<!-- /bench:${section} -->`
  const page = readFileSync(file, 'utf8')
  const from = page.indexOf(begin)
  const to = page.indexOf(end)
  if (from < 0 || to < from) throw new Error(`${path} lacks the markers of ${section}`)
  writeFileSync(file, `${page.slice(0, from + begin.length)}\n${content}\n${page.slice(to)}`)
}
