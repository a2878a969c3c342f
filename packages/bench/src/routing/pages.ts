import { existsSync, readFileSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

const repositoryRoot = fileURLToPath(new URL('../../../../../', import.meta.url))

/** Writes a file; the path is relative to the root of the repository. */
export function writeRepositoryFile (path: string, content: string): void {
  writeFileSync(`${repositoryRoot}${path}`, content)
}

/**
 * Replaces the text between the markers of `section` in a Markdown page.
 * Throws if a marker is missing; ignores a missing page.
 */
export function replaceSection (path: string, section: string, content: string): void {
  const file = `${repositoryRoot}${path}`
  if (!existsSync(file)) return
  const startMarker = `<!-- bench:${section} -->`
  const endMarker = `<!-- /bench:${section} -->`
  const page = readFileSync(file, 'utf8')
  const startIndex = page.indexOf(startMarker)
  const endIndex = page.indexOf(endMarker)
  if (startIndex < 0 || endIndex < startIndex) throw new Error(`${path} has no markers for section "${section}"`)
  writeFileSync(file, `${page.slice(0, startIndex + startMarker.length)}\n${content}\n${page.slice(endIndex)}`)
}
