import { readFileSync } from 'node:fs'

/** Returns the version in the package.json of this package. */
export function readVersion (): string {
  const text = readFileSync(new URL('../../../package.json', import.meta.url), 'utf8')
  return (JSON.parse(text) as { version: string }).version
}
