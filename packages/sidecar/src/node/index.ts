/** One node of the platform, made of the parts in `core` and the adapter in `platform`. */
export { Node } from './node.js'
