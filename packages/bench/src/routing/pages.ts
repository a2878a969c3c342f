import { existsSync, readFileSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

const repositoryRoot = fileURLToPath(new URL('../../../../../', import.meta.url))

/** Writes a file below the root of the repository. */
export function writeRepositoryFile (path: string, content: string): void {
  writeFileSync(`${repositoryRoot}${path}`, content)
}

/** Replaces what stands between the markers of `section` in a Markdown page. */
export function replaceSection (path: string, section: string, content: string): void {
  const file = `${repositoryRoot}${path}`
  if (!existsSync(file)) return
  const startMarker = `<!-- bench:${section} -->`
  const endMarker = `<!-- /bench:${section} -->`
  const page = readFileSync(file, 'utf8')
  const startIndex = page.indexOf(startMarker)
  const endIndex = page.indexOf(endMarker)
  if (startIndex < 0 || endIndex < startIndex) throw new Error(`${path} lacks the markers of ${section}`)
  writeFileSync(file, `${page.slice(0, startIndex + startMarker.length)}\n${content}\n${page.slice(endIndex)}`)
}
