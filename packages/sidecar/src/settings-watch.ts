import type { Cancel, Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Settings } from './core/settings.js'

/** Looks for changed settings now and then, and when it is told to. */
export class SettingsWatch {
  private readonly options: SettingsWatchOptions
  private readonly cancel: Cancel
  private known: string

  private constructor (options: SettingsWatchOptions) {
    this.options = options
    this.known = JSON.stringify(options.settings)
    this.cancel = options.clock.every(options.checkMs, () => { this.check() })
  }

  static create (options: SettingsWatchOptions): SettingsWatch {
    return new SettingsWatch(options)
  }

  /** Reads the settings; those that are not valid leave the old ones in force. */
  check (): void {
    const { read, logger, onChange } = this.options
    try {
      const settings = read()
      const text = JSON.stringify(settings)
      if (text === this.known) return
      this.known = text
      onChange(settings)
    } catch (error) {
      logger.warn('settings-kept', { error: (error as Error).message })
    }
  }

  close (): void {
    this.cancel()
  }
}

interface SettingsWatchOptions {
  /** Those in force. */
  readonly settings: Settings
  /** Reads the present ones; throws when they are not valid. */
  readonly read: () => Settings
  readonly clock: Clock
  readonly logger: Logger
  readonly checkMs: number
  readonly onChange: (settings: Settings) => void
}
