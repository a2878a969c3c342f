/** Recomputes the tables of docs/CAPACITY.md from the committed results: `npm run capacity`. */
import { readFileSync, writeFileSync } from 'node:fs'
import { fillPage, pageFile } from './page.js'
import { makeTables } from './tables.js'

writeFileSync(pageFile, fillPage(readFileSync(pageFile, 'utf8'), makeTables()))
