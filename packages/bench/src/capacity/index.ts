/** Recomputes the tables of docs/CAPACITY.md from the committed results: `npm run capacity`. */
import { readFileSync, writeFileSync } from 'node:fs'
import { fillPage, pageFile } from './page.js'
import { createTables } from './tables.js'

writeFileSync(pageFile, fillPage(readFileSync(pageFile, 'utf8'), createTables()))
