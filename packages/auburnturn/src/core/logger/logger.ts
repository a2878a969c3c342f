import type { Logger as Roarr } from 'roarr'
import { createRoarr } from './create-roarr.js'
import { formatEvent } from './format.js'
import type { LogFields, LogLevel } from './types.js'

type LineWriter = (line: string) => void

const severities: Record<LogLevel, number> = { debug: 20, info: 30, warn: 40, error: 50 }

/** Writes events of one subsystem; passed to each part, never global. */
export class Logger {
  private readonly subsystem: string
  private readonly level: LogLevel
  private readonly roarr: Roarr

  private constructor (subsystem: string, level: LogLevel, roarr: Roarr) {
    this.subsystem = subsystem
    this.level = level
    this.roarr = roarr
  }

  /** `write` receives whole lines without a line end; standard error unless given. */
  static create (level: LogLevel = 'info', write: LineWriter = line => { process.stderr.write(`${line}\n`) }): Logger {
    const roarr = createRoarr(({ context, message, time }) => {
      const { subsystem, level, fields } = context as unknown as EventContext
      write(formatEvent(time, level, subsystem, message, fields))
    })
    return new Logger('auburnturn', level, roarr)
  }

  /** A logger that drops everything. */
  static createSilent (): Logger {
    return Logger.create('error', () => {})
  }

  /** The same logger under the name of a subsystem. */
  createChild (subsystem: string): Logger {
    return new Logger(subsystem, this.level, this.roarr)
  }

  debug (event: string, fields: LogFields = {}): void { this.emit('debug', event, fields) }
  info (event: string, fields: LogFields = {}): void { this.emit('info', event, fields) }
  warn (event: string, fields: LogFields = {}): void { this.emit('warn', event, fields) }
  error (event: string, fields: LogFields = {}): void { this.emit('error', event, fields) }

  private emit (level: LogLevel, event: string, fields: LogFields): void {
    if (severities[level] < severities[this.level]) return
    const context: EventContext = { subsystem: this.subsystem, level, fields }
    this.roarr[level]({ ...context }, event)
  }
}

/** What roarr carries from an event to the line that is written of it. */
interface EventContext {
  readonly subsystem: string
  readonly level: LogLevel
  readonly fields: LogFields
}
