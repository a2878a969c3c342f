import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Configuration } from '../configuration/index.js'
import type { SharedState } from '../following/index.js'
import { configurationPath, maxSharedConfigurationBytes, statePath } from './constants.js'
import { compressJson } from './compression.js'
import { respond } from './respond.js'

/** Response headers of compressed data for another node. */
const compressedHeaders = ['content-type', 'application/octet-stream']

const emptyBody = Buffer.alloc(0)

/**
 * Serves the state or the configuration of this node to another one.
 * @param readState returns the state that this node serves to others; undefined before it has a configuration
 */
export async function serveState (request: IncomingMessage, response: ServerResponse, readState: () => SharedState | undefined): Promise<void> {
  request.resume()
  if (request.url === statePath) respondState(response, readState())
  else if (request.url === configurationPath) respondConfiguration(response, readState()?.configuration)
  else respond(response, 404, ['connection', 'close'], emptyBody)
}

function respondState (response: ServerResponse, state: SharedState | undefined): void {
  if (state === undefined) respond(response, 503, [], emptyBody)
  else respond(response, 200, compressedHeaders, compressJson(state))
}

/**
 * Responds without a body when the configuration is too large to serve: many nodes can read it from the store at the
 * same time.
 */
function respondConfiguration (response: ServerResponse, configuration: Configuration | undefined): void {
  if (configuration === undefined) return respond(response, 503, [], emptyBody)
  const body = compressJson(configuration)
  if (body.length > maxSharedConfigurationBytes) respond(response, 204, [], emptyBody)
  else respond(response, 200, compressedHeaders, body)
}
