#!/usr/bin/env node
import { runTool } from '../dist/src/cli/index.js'

await runTool(process.argv.slice(2))
