import { fileURLToPath } from 'node:url'

/** Path of docs/CAPACITY.md. */
export const pageFile = fileURLToPath(new URL('../../../../../docs/CAPACITY.md', import.meta.url))

/** Replaces the text between the markers `<!-- NAME -->` and `<!-- /NAME -->` of each table; throws if one is missing. */
export function fillPage (page: string, tables: ReadonlyMap<string, string>): string {
  let filled = page
  for (const [name, table] of tables) {
    const start = filled.indexOf(`<!-- ${name} -->`)
    const end = filled.indexOf(`<!-- /${name} -->`)
    if (start < 0 || end < start) throw new Error(`the page has no markers for ${name}`)
    filled = `${filled.slice(0, start)}<!-- ${name} -->\n${table}\n${filled.slice(end)}`
  }
  return filled
}
