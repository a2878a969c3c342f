import { fileURLToPath } from 'node:url'

/** Where the page stands. */
export const pageFile = fileURLToPath(new URL('../../../../../docs/CAPACITY.md', import.meta.url))

/** Puts each table between its markers `<!-- NAME -->` and `<!-- /NAME -->`; throws when a marker is missing. */
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
