#!/usr/bin/env node
import { runTool } from '../dist/src/cli/index.js'

// A reader such as `head` may close the pipe early.
process.stdout.on('error', () => { process.exit() })
process.exitCode = await runTool(process.argv.slice(2))
