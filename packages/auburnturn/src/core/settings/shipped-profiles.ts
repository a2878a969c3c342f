import { readdirSync, readFileSync } from 'node:fs'

const extension = '.jsonc'

/** Reads the profiles that ship in the package's folder `profiles`: JSON with comments, by profile name. */
export function readShippedProfiles (): ReadonlyMap<string, string> {
  const folder = new URL('../../../../profiles/', import.meta.url)
  const files = readdirSync(folder).filter(file => file.endsWith(extension)).sort()
  return new Map(files.map(file => [file.slice(0, -extension.length), readFileSync(new URL(file, folder), 'utf8')]))
}
